//! Recorded inputs of decision modules, run again against stated outcomes.

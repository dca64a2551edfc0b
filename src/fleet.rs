//! Membership between our processes: failure detection, dissemination and anti-entropy.

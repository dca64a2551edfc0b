//! Ordered rules: conditions, actions and the first match.

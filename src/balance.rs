//! Which upstream a request goes to: subset, slots, connections and score.

//! One request from caller to upstream and back, whole or visibly failed.

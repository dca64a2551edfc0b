//! Tests of `hemlockfield::registry`.

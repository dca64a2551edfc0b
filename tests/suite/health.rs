//! Tests of `hemlockfield::health`.

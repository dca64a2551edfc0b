//! Tests of `hemlockfield::exchange`.

//! Tests of `hemlockfield::retry`.

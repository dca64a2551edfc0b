//! Tests of `hemlockfield::claim`.

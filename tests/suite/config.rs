//! Tests of `hemlockfield::config`.

//! Tests of `hemlockfield::fleet`.

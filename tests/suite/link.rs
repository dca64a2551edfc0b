//! Tests of `hemlockfield::link`.

//! Tests of `hemlockfield::timeline`.

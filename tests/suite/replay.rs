//! Tests of `hemlockfield::replay`.

//! Tests of `hemlockfield::storage`.

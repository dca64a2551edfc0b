//! Tests of `hemlockfield::rule`.

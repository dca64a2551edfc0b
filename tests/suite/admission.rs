//! Tests of `hemlockfield::admission`.

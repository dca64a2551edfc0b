//! Tests of `hemlockfield::balance`.

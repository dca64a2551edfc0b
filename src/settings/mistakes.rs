use std::cell::RefCell;

use super::Mistake;

/// Every mistake found so far in one file.
#[derive(Debug)]
pub(crate) struct Mistakes {
    file: String,
    found: RefCell<Vec<Mistake>>,
}

impl Mistakes {
    /// Starts a check of `file`.
    pub(crate) fn new(file: &str) -> Self {
        Self { file: file.into(), found: RefCell::default() }
    }

    /// Notes a mistake at `line`.
    pub(crate) fn add(&self, line: u64, text: impl Into<String>) {
        let mistake = Mistake { file: self.file.clone(), line, text: text.into() };
        self.found.borrow_mut().push(mistake);
    }

    /// Mistakes in the order of the file.
    pub(crate) fn into_sorted(self) -> Vec<Mistake> {
        let mut found = self.found.into_inner();
        found.sort_by_key(|mistake| mistake.line);
        found
    }
}

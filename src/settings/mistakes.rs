use std::cell::Cell;
use std::cell::RefCell;

use super::Mistake;

/// Mistakes reported individually at most. Authors correct a file long before that many. A file
/// of 8 MB with nothing but mistakes has four million, which exhausted a control's memory.
const MAX_REPORTED: usize = 1_000;

/// Mistakes found so far in one file.
#[derive(Debug)]
pub(crate) struct Mistakes {
    file: String,
    found: RefCell<Vec<Mistake>>,
    /// Number of mistakes beyond [`MAX_REPORTED`].
    omitted: Cell<usize>,
}

impl Mistakes {
    /// Creates an empty collection for `file`.
    pub(crate) fn new(file: &str) -> Self {
        Self { file: file.into(), found: RefCell::default(), omitted: Cell::new(0) }
    }

    /// Records a mistake at `line`.
    pub(crate) fn add(&self, line: u64, text: impl Into<String>) {
        if self.found.borrow().len() >= MAX_REPORTED {
            self.omitted.set(self.omitted.get() + 1);
            return;
        }
        let mistake = Mistake { file: self.file.clone(), line, text: text.into() };
        self.found.borrow_mut().push(mistake);
    }

    /// Returns the mistakes in the order of the file.
    pub(crate) fn into_sorted(self) -> Vec<Mistake> {
        let mut found = self.found.into_inner();
        found.sort_by_key(|mistake| mistake.line);
        if let Some(line) =
            found.last().map(|mistake| mistake.line).filter(|_| self.omitted.get() > 0)
        {
            let text = format!("`{}` more mistakes are not told", self.omitted.get());
            found.push(Mistake { file: self.file, line, text });
        }
        found
    }
}

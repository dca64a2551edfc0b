use std::cell::Cell;
use std::cell::RefCell;

use super::Mistake;

/// Most mistakes that are told one by one. A person mends a file long before; a file of
/// 8 MB that holds nothing else has four million, which took a control's memory.
const MOST: usize = 1_000;

/// Every mistake found so far in one file.
#[derive(Debug)]
pub(crate) struct Mistakes {
    file: String,
    found: RefCell<Vec<Mistake>>,
    /// Mistakes beyond the most that are told.
    more: Cell<usize>,
}

impl Mistakes {
    /// Starts a check of `file`.
    pub(crate) fn new(file: &str) -> Self {
        Self { file: file.into(), found: RefCell::default(), more: Cell::new(0) }
    }

    /// Notes a mistake at `line`.
    pub(crate) fn add(&self, line: u64, text: impl Into<String>) {
        if self.found.borrow().len() >= MOST {
            self.more.set(self.more.get() + 1);
            return;
        }
        let mistake = Mistake { file: self.file.clone(), line, text: text.into() };
        self.found.borrow_mut().push(mistake);
    }

    /// Mistakes in the order of the file.
    pub(crate) fn into_sorted(self) -> Vec<Mistake> {
        let mut found = self.found.into_inner();
        found.sort_by_key(|mistake| mistake.line);
        if let Some(line) = found.last().map(|mistake| mistake.line).filter(|_| self.more.get() > 0)
        {
            let text = format!("`{}` more mistakes are not told", self.more.get());
            found.push(Mistake { file: self.file, line, text });
        }
        found
    }
}

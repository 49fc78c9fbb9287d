//! Limits how many bytes a gateway holds for one purpose, whoever they are held for.
//!
//! Used for what the accounts of the callers' connections don't see: answers of members while they arrive, and
//! statements of other gateways.

use std::cell::Cell;
use std::rc::Rc;

/// The budget has no room for the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetExceeded;

/// Limit of bytes, and how many are held.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    limit: usize,
    held: Cell<usize>,
}

impl ByteBudget {
    pub(crate) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, held: Cell::new(0) })
    }

    /// Starts to hold bytes, none at first.
    pub(crate) fn start(self: &Rc<Self>) -> HeldBytes {
        HeldBytes { budget: Rc::clone(self), bytes: 0 }
    }
}

/// Bytes that are held until this value is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl HeldBytes {
    /// Holds more bytes; on an error, none of them.
    pub(crate) fn add(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let held = self.budget.held.get() + bytes;
        if held > self.budget.limit {
            return Err(BudgetExceeded);
        }
        self.budget.held.set(held);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
    }
}

//! A short log that fits in a few bytes, shared by the specifications.

/// Longest log a specification may hold.
pub const LOG_CAPACITY: usize = 6;

/// A set of participants, one bit each.
pub type Mask = u8;

/// Whether `part` holds more than half of `whole`.
#[must_use]
pub const fn is_majority(part: Mask, whole: Mask) -> bool {
    2 * (part & whole).count_ones() > whole.count_ones()
}

/// One entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LogEntry {
    /// Term of the leader or primary that wrote it.
    pub term: u8,
    /// The voters from here on; zero for an ordinary entry.
    pub voters: Mask,
}

/// A log; entries past `len` are kept at their default so that equal logs are equal states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ShortLog {
    len: u8,
    entries: [LogEntry; LOG_CAPACITY],
}

impl ShortLog {
    /// The log without entries.
    pub const EMPTY: Self =
        Self { len: 0, entries: [LogEntry { term: 0, voters: 0 }; LOG_CAPACITY] };

    /// Number of entries.
    #[must_use]
    pub const fn len(&self) -> u8 {
        self.len
    }

    /// Whether there is no entry.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The entries.
    #[must_use]
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries[..usize::from(self.len)]
    }

    /// The entry at an index; the first has index 1.
    #[must_use]
    pub fn entry(&self, index: u8) -> LogEntry {
        self.entries[usize::from(index) - 1]
    }

    /// Term and index of the last entry, which orders logs by how advanced they are.
    #[must_use]
    pub fn last(&self) -> (u8, u8) {
        (self.entries().last().map_or(0, |entry| entry.term), self.len)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        self.entries[usize::from(self.len)] = entry;
        self.len += 1;
    }

    /// The first `len` entries.
    #[must_use]
    pub fn prefix(&self, len: u8) -> Self {
        let mut prefix = Self { len, ..*self };
        prefix.entries[usize::from(len)..].fill(LogEntry::default());
        prefix
    }

    /// Whether it begins with all of `other`.
    #[must_use]
    pub fn starts_with(&self, other: &Self) -> bool {
        self.entries().starts_with(other.entries())
    }

    /// Takes over the entries of an append message, as in the Raft paper: what
    /// conflicts is cut, what merely goes on after the message stays.
    pub fn accept(&mut self, message: &Self) {
        if !self.starts_with(message) {
            *self = *message;
        }
    }

    /// The voters after the last entry that names them.
    #[must_use]
    pub fn voters(&self, initial: Mask) -> Mask {
        let mut named = self.entries().iter().rev().filter(|entry| entry.voters != 0);
        named.next().map_or(initial, |entry| entry.voters)
    }

    /// Index of the last entry that names voters; zero for none.
    #[must_use]
    pub fn last_voters_index(&self) -> u8 {
        let position = self.entries().iter().rposition(|entry| entry.voters != 0);
        position.map_or(0, |position| u8::try_from(position + 1).unwrap_or(u8::MAX))
    }

    /// Whether the two are equal up to the last index at which they hold the same entry.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        let pairs = self.entries().iter().zip(other.entries());
        let agreed = pairs.clone().rposition(|(left, right)| left.term == right.term);
        agreed.is_none_or(|last| pairs.take(last + 1).all(|(left, right)| left == right))
    }

    /// Puts the last entry of a message at its index, whatever stands before it; the
    /// fault of a follower that does not check the previous entry. Refused where the
    /// log is too short.
    pub fn overwrite_last(&mut self, message: &Self) -> bool {
        let index = message.len();
        if index > self.len + 1 || index == 0 {
            return false;
        }
        *self = self.prefix(index - 1);
        self.push(message.entry(index));
        true
    }
}

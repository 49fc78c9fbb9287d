//! Sets up the allocator of the C library for a process whose clients may send large messages.

/// Size from which a block of memory is a mapping of its own, in bytes. The C library raises the threshold when
/// such a block is freed, and large blocks of many sizes then fragment the heap: the process keeps some times the
/// memory that is in use.
const MAPPED_BLOCK_BYTES: libc::c_int = 128 * 1024;

/// Lets the allocator return large blocks to the system when they are freed. To be called at the start of a
/// process.
pub fn return_large_blocks() {
    #[allow(unsafe_code)] // No safe wrapper of `mallopt` exists.
    // SAFETY: `mallopt` has no preconditions; it takes the allocator's lock.
    let accepted = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) };
    if accepted == 0 {
        log::warn!("the allocator keeps large blocks that are freed");
    }
}

/// Returns the memory of freed small blocks to the system, which takes some milliseconds.
pub(crate) fn return_free_memory() {
    #[allow(unsafe_code)] // No safe wrapper of `malloc_trim` exists.
    // SAFETY: `malloc_trim` has no preconditions; it takes the allocator's locks.
    let is_returned = unsafe { libc::malloc_trim(0) };
    log::debug!(is_returned; "memory of clients that have gone is returned");
}

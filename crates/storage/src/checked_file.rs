//! Files with a checksum that are replaced as a whole.
//!
//! A file consists of a magic string, a checksum and the content. Replacing a file syncs the content before
//! the name.

use crate::disk::Disk;
use crate::error::{Damage, StorageError};

/// First bytes of the file, which give its type and format version.
const MAGIC: [u8; 8] = *b"corkfil1";
/// Size of the checksum, a CRC-32 in little-endian order.
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC.len() + CHECKSUM_BYTES;
/// Suffix of the file that is written before it replaces the file of its name.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Returns the verified content of the file, or `None` when the file was never written.
pub(crate) fn read(disk: &impl Disk, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let Some(mut bytes) = disk.read(name)? else { return Ok(None) };
    let corrupt = |damage| StorageError::Corrupt { path: disk.path(name), offset: 0, damage };
    // The file is renamed into place only once it is complete, so a short file is damaged.
    if bytes.len() < HEADER_BYTES || bytes[..MAGIC.len()] != MAGIC {
        return Err(corrupt(Damage::OutOfPlace));
    }
    let content = bytes.split_off(HEADER_BYTES);
    if crc32fast::hash(&content).to_le_bytes() != bytes[MAGIC.len()..] {
        return Err(corrupt(Damage::Checksum));
    }
    Ok(Some(content))
}

/// Replaces the content atomically; the new content is durable when the function returns.
pub(crate) fn replace(
    disk: &mut impl Disk,
    name: &str,
    content: &[u8],
) -> Result<(), StorageError> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    bytes.extend_from_slice(content);
    replace_bytes(disk, name, &bytes)
}

/// Replaces a file without a header atomically; the new bytes are durable when the function returns.
pub(crate) fn replace_bytes(
    disk: &mut impl Disk,
    name: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    // A crash may have left a temporary file behind.
    disk.remove(&temporary)?;
    disk.append(&temporary, bytes)?;
    // The content is synced before the rename, so that the name never refers to incomplete content.
    disk.sync(&temporary)?;
    disk.rename(&temporary, name)?;
    disk.sync_folder()
}

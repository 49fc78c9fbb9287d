//! A file that is replaced as a whole, with a checksum.
//!
//! Owns the form: magic, checksum, content. Relies on the disk to sync content before names.

use crate::disk::Disk;
use crate::error::{Damage, StorageError};

/// First bytes of the file: what it is and its version.
const MAGIC: [u8; 8] = *b"corkfil1";
/// A CRC-32, in little-endian order.
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC.len() + CHECKSUM_BYTES;
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Content of the file, none when it was never written.
pub(crate) fn read(disk: &impl Disk, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let Some(mut bytes) = disk.read(name)? else { return Ok(None) };
    let corrupt = |damage| StorageError::Corrupt { path: disk.path(name), offset: 0, damage };
    // The file is renamed into place when it is complete, so a short one is damaged.
    if bytes.len() < HEADER_BYTES || bytes[..MAGIC.len()] != MAGIC {
        return Err(corrupt(Damage::OutOfPlace));
    }
    let content = bytes.split_off(HEADER_BYTES);
    if crc32fast::hash(&content).to_le_bytes() != bytes[MAGIC.len()..] {
        return Err(corrupt(Damage::Checksum));
    }
    Ok(Some(content))
}

/// Replaces the content; it is durable when this returns, and never half there.
pub(crate) fn replace(
    disk: &mut impl Disk,
    name: &str,
    content: &[u8],
) -> Result<(), StorageError> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    bytes.extend_from_slice(content);
    // A crash may have left one behind.
    disk.remove(&temporary)?;
    disk.append(&temporary, &bytes)?;
    // The content is synced before the name, so that the name never shows less.
    disk.sync(&temporary)?;
    disk.rename(&temporary, name)?;
    disk.sync_folder()
}

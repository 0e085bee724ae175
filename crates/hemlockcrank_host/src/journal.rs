//! The control host's durable state: one append-only file under the data folder.
//!
//! Each record is `length, crc32 of the length, crc32 of the body, body`, the body a `bincode`
//! [`DurableChange`]. [`Journal::append`] returns
//! after the file is synced. A snapshot rewrites the file beside the old one and renames it, so there is
//! always one whole file. A torn record at the end was never acknowledged and is cut off at start; a
//! damaged record **before** the end is an error, because acknowledged state would be lost.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    path::{Path, PathBuf},
};

use hemlockcrank_core::consensus::{DurableChange, DurableState};
use hemlockcrank_wire::{CodecError, decode, encode};
use miette::Diagnostic;
use thiserror::Error;

/// Name of the journal.
const JOURNAL_FILE: &str = "control.journal";
/// Name of the journal that is being written.
const FRESH_FILE: &str = "control.journal.new";
/// Name of the file with the incarnation of this disk.
const INCARNATION_FILE: &str = "incarnation";
/// Bytes of a record's head.
const HEAD_BYTES: usize = 12;

/// Durable state that cannot be read or written.
#[derive(Debug, Error, Diagnostic)]
pub enum JournalError {
    /// A file operation failed.
    #[error("{path}: {source}")]
    #[diagnostic(code(journal::io), help("check the data folder and its disk"))]
    Io {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A record before the end is damaged.
    #[error("{path}: the record at byte {offset} is damaged")]
    #[diagnostic(
        code(journal::damaged),
        help("move the data folder away: the host then rejoins as a new incarnation")
    )]
    Damaged {
        /// File.
        path: PathBuf,
        /// Byte offset of the record.
        offset: usize,
    },
    /// A record cannot be encoded.
    #[error(transparent)]
    #[diagnostic(code(journal::codec))]
    Codec(#[from] CodecError),
}

/// The open journal.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    file: File,
    saved: Option<DurableState>,
    incarnation: u64,
}

impl Journal {
    /// Opens the data folder, making it if need be. `fresh_incarnation` names a new disk.
    ///
    /// # Errors
    ///
    /// [`JournalError`] when the folder cannot be used or the journal is damaged.
    pub fn open(folder: &Path, fresh_incarnation: u64) -> Result<Self, JournalError> {
        fs::create_dir_all(folder).map_err(at(folder))?;
        let incarnation = read_incarnation(folder, fresh_incarnation)?;
        let path = folder.join(JOURNAL_FILE);
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(&path)
            .map_err(at(&path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(at(&path))?;
        let (saved, whole) = replay(&path, &bytes)?;
        if whole < bytes.len() {
            file.set_len(whole as u64).map_err(at(&path))?;
            file.sync_all().map_err(at(&path))?;
        }
        sync_folder(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
            file,
            saved,
            incarnation,
        })
    }

    /// Incarnation of this disk.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// State read at start; `None` when the disk knows no group yet.
    pub fn take_saved(&mut self) -> Option<DurableState> {
        self.saved.take()
    }

    /// Writes changes and syncs them.
    ///
    /// # Errors
    ///
    /// [`JournalError`]; the host must not go on as a voter then.
    pub fn append(&mut self, changes: &[DurableChange]) -> Result<(), JournalError> {
        let path = self.folder.join(JOURNAL_FILE);
        let mut bytes = Vec::new();
        for change in changes {
            put_record(&mut bytes, change)?;
        }
        self.file.write_all(&bytes).map_err(at(&path))?;
        self.file.sync_data().map_err(at(&path))
    }

    /// Replaces the journal by these changes, which stand for everything before.
    ///
    /// # Errors
    ///
    /// [`JournalError`]; the old journal is whole then.
    pub fn rewrite(&mut self, changes: &[DurableChange]) -> Result<(), JournalError> {
        let fresh = self.folder.join(FRESH_FILE);
        let path = self.folder.join(JOURNAL_FILE);
        let mut bytes = Vec::new();
        for change in changes {
            put_record(&mut bytes, change)?;
        }
        let mut file = File::create(&fresh).map_err(at(&fresh))?;
        file.write_all(&bytes).map_err(at(&fresh))?;
        file.sync_all().map_err(at(&fresh))?;
        fs::rename(&fresh, &path).map_err(at(&path))?;
        sync_folder(&self.folder)?;
        self.file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(at(&path))?;
        Ok(())
    }
}

fn at(path: &Path) -> impl FnOnce(io::Error) -> JournalError + use<> {
    let path = path.to_owned();
    move |source| JournalError::Io { path, source }
}

fn sync_folder(folder: &Path) -> Result<(), JournalError> {
    File::open(folder)
        .and_then(|handle| handle.sync_all())
        .map_err(at(folder))
}

fn read_incarnation(folder: &Path, fresh: u64) -> Result<u64, JournalError> {
    let path = folder.join(INCARNATION_FILE);
    if let Ok(text) = fs::read_to_string(&path)
        && let Ok(number) = text.trim().parse()
    {
        return Ok(number);
    }
    let mut file = File::create(&path).map_err(at(&path))?;
    writeln!(file, "{fresh}").map_err(at(&path))?;
    file.sync_all().map_err(at(&path))?;
    sync_folder(folder)?;
    Ok(fresh)
}

fn put_record(bytes: &mut Vec<u8>, change: &DurableChange) -> Result<(), JournalError> {
    let body = encode(change)?;
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&length.to_le_bytes()).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// A record's body at `offset` with the offset of its end.
enum Found<'a> {
    Whole(&'a [u8], usize),
    /// The bytes there are no record.
    Broken,
    /// The bytes end before the record does.
    Short,
}

fn record_at(bytes: &[u8], offset: usize) -> Found<'_> {
    let Some(head) = bytes.get(offset..offset + HEAD_BYTES) else {
        return Found::Short;
    };
    let (length, sums) = head.split_at(4);
    if crc32fast::hash(length).to_le_bytes() != sums[..4] {
        return Found::Broken;
    }
    let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]);
    let start = offset + HEAD_BYTES;
    let end = start + usize::try_from(length).unwrap_or(usize::MAX - start);
    match bytes.get(start..end) {
        None => Found::Short,
        Some(body) if crc32fast::hash(body).to_le_bytes() == sums[4..] => Found::Whole(body, end),
        Some(_) => Found::Broken,
    }
}

/// Whether the last record was written whole and only its length has been damaged since.
fn is_whole_but_for_its_length(record: &[u8]) -> bool {
    let sum = record.get(HEAD_BYTES - 4..HEAD_BYTES);
    let body = record.get(HEAD_BYTES..).filter(|body| !body.is_empty());
    sum.zip(body)
        .is_some_and(|(sum, body)| crc32fast::hash(body).to_le_bytes() == sum)
}

/// Reads all whole records; returns the state and the length of the part that is whole. What was being
/// written when the host lost power may be there in any shape; a whole record after it cannot be.
fn replay(path: &Path, bytes: &[u8]) -> Result<(Option<DurableState>, usize), JournalError> {
    let mut saved: Option<DurableState> = None;
    let mut offset = 0;
    while let Found::Whole(body, end) = record_at(bytes, offset) {
        let change: DurableChange = decode(body)?;
        saved.get_or_insert_default().apply(change);
        offset = end;
    }
    let whole_after = (offset + 1..bytes.len())
        .any(|later| matches!(record_at(bytes, later), Found::Whole(body, _) if !body.is_empty()));
    let head_broken = matches!(record_at(bytes, offset), Found::Broken);
    if whole_after || (head_broken && is_whole_but_for_its_length(&bytes[offset..])) {
        return Err(JournalError::Damaged {
            path: path.to_owned(),
            offset,
        });
    }
    Ok((saved, offset))
}

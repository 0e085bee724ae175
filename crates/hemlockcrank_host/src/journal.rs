//! The control host's durable state: one append-only file under the data folder.
//!
//! Each record is `length, crc32 of the length, crc32 of the body, body`, where the body is a
//! `bincode` [`DurableChange`]. [`Journal::append`] returns after the file is synced. A snapshot writes a
//! new file next to the old one and renames it, so one complete file always exists. A torn record
//! at the end was never acknowledged and is truncated at start; a damaged record **before** the end
//! is an error, because acknowledged state would be lost.
//!
//! After a failed write the content of the file is not known: part of a record may be there, and the
//! disk may have dropped what it has not synced although it can still be read. [`Journal::reopen`]
//! therefore writes what it reads to a new file.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    path::{Path, PathBuf},
};

use hemlockcrank_core::consensus::{DurableChange, DurableState};
use hemlockcrank_wire::{CodecError, decode, encode};
use miette::Diagnostic;
use thiserror::Error;

/// File name of the journal.
const JOURNAL_FILE: &str = "control.journal";
/// File name of a replacement journal until it is renamed to [`JOURNAL_FILE`].
const NEW_FILE: &str = "control.journal.new";
/// Name of the file that holds the incarnation of this disk.
const INCARNATION_FILE: &str = "incarnation";
/// Size of a record header: the length and the two checksums, in bytes.
const HEADER_BYTES: usize = 12;

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
    /// The data folder is not the one that this process started with.
    #[error("{path}: the data folder was replaced")]
    #[diagnostic(
        code(journal::replaced),
        help("restart the host: it then joins as a new incarnation")
    )]
    Replaced {
        /// Folder.
        path: PathBuf,
    },
    /// A record cannot be encoded, or the state in a snapshot cannot be decoded.
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
    /// Opens the data folder and creates it if it is missing. A new disk gets `new_incarnation`.
    ///
    /// # Errors
    ///
    /// [`JournalError`] when the folder cannot be used or the journal is damaged.
    pub fn open(folder: &Path, new_incarnation: u64) -> Result<Self, JournalError> {
        fs::create_dir_all(folder).map_err(io_error(folder))?;
        let incarnation = read_incarnation(folder, new_incarnation)?;
        let path = folder.join(JOURNAL_FILE);
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(&path)
            .map_err(io_error(&path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io_error(&path))?;
        let (saved, valid_bytes) = replay(&path, &bytes)?;
        if valid_bytes < bytes.len() {
            file.set_len(valid_bytes as u64).map_err(io_error(&path))?;
            file.sync_all().map_err(io_error(&path))?;
        }
        sync_folder(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
            file,
            saved,
            incarnation,
        })
    }

    /// Opens the journal again after a failed write, and makes what it holds durable.
    ///
    /// # Errors
    ///
    /// [`JournalError`] while the disk still fails, or if the folder has another incarnation.
    pub fn reopen(folder: &Path, incarnation: u64) -> Result<Self, JournalError> {
        let mut journal = Self::open(folder, incarnation)?;
        if journal.incarnation != incarnation {
            return Err(JournalError::Replaced {
                path: folder.to_owned(),
            });
        }
        let changes = journal.saved.as_ref().map(DurableState::to_changes);
        journal.rewrite(&changes.unwrap_or_default())?;
        Ok(journal)
    }

    /// Folder that the journal is in.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Incarnation of this disk.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes the state read at start; `None` when this disk has not joined a group yet.
    pub fn take_saved(&mut self) -> Option<DurableState> {
        self.saved.take()
    }

    /// Appends changes and syncs the file.
    ///
    /// # Errors
    ///
    /// [`JournalError`]; after an error the host must not continue as a voter before [`Self::reopen`].
    pub fn append(&mut self, changes: &[DurableChange]) -> Result<(), JournalError> {
        let path = self.folder.join(JOURNAL_FILE);
        let mut bytes = Vec::new();
        for change in changes {
            encode_record(&mut bytes, change)?;
        }
        self.file.write_all(&bytes).map_err(io_error(&path))?;
        self.file.sync_data().map_err(io_error(&path))
    }

    /// Replaces the whole journal with `changes`, which must contain the complete state.
    ///
    /// # Errors
    ///
    /// [`JournalError`]; one complete journal, the old or the new one, is on disk in that case. The
    /// host must not continue as a voter before [`Self::reopen`].
    pub fn rewrite(&mut self, changes: &[DurableChange]) -> Result<(), JournalError> {
        let new_path = self.folder.join(NEW_FILE);
        let path = self.folder.join(JOURNAL_FILE);
        let mut bytes = Vec::new();
        for change in changes {
            encode_record(&mut bytes, change)?;
        }
        if let Err(error) = write_new(&new_path, &bytes) {
            // An incomplete file must not take up space on a full disk; a leftover is overwritten.
            let _ = fs::remove_file(&new_path);
            return Err(io_error(&new_path)(error));
        }
        fs::rename(&new_path, &path).map_err(io_error(&path))?;
        sync_folder(&self.folder)?;
        self.file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(io_error(&path))?;
        Ok(())
    }
}

fn io_error(path: &Path) -> impl FnOnce(io::Error) -> JournalError + use<> {
    let path = path.to_owned();
    move |source| JournalError::Io { path, source }
}

fn write_new(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn sync_folder(folder: &Path) -> Result<(), JournalError> {
    File::open(folder)
        .and_then(|handle| handle.sync_all())
        .map_err(io_error(folder))
}

fn read_incarnation(folder: &Path, new_incarnation: u64) -> Result<u64, JournalError> {
    let path = folder.join(INCARNATION_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => {
            if let Ok(incarnation) = text.trim().parse() {
                return Ok(incarnation);
            }
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        // The file is there: another incarnation in its place would make this disk a new voter.
        Err(error) => return Err(io_error(&path)(error)),
    }
    let text = format!("{new_incarnation}\n");
    write_new(&path, text.as_bytes()).map_err(io_error(&path))?;
    sync_folder(folder)?;
    Ok(new_incarnation)
}

fn encode_record(bytes: &mut Vec<u8>, change: &DurableChange) -> Result<(), JournalError> {
    let body = encode(change)?;
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&length.to_le_bytes()).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Result of parsing a record at an offset.
enum Parsed<'a> {
    /// Body of a valid record and the offset of its end.
    Valid(&'a [u8], usize),
    /// A checksum does not match.
    Corrupt,
    /// The file ends before the record does.
    Truncated,
}

fn parse_record(bytes: &[u8], offset: usize) -> Parsed<'_> {
    let Some(header) = bytes.get(offset..offset + HEADER_BYTES) else {
        return Parsed::Truncated;
    };
    let (length, checksums) = header.split_at(4);
    if crc32fast::hash(length).to_le_bytes() != checksums[..4] {
        return Parsed::Corrupt;
    }
    let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]);
    let start = offset + HEADER_BYTES;
    let end = start + usize::try_from(length).unwrap_or(usize::MAX - start);
    match bytes.get(start..end) {
        None => Parsed::Truncated,
        Some(body) if crc32fast::hash(body).to_le_bytes() == checksums[4..] => {
            Parsed::Valid(body, end)
        }
        Some(_) => Parsed::Corrupt,
    }
}

/// Whether the last record was written completely and only its length was damaged afterwards: the
/// checksum of the body matches all bytes up to the end of the file.
fn only_length_is_damaged(record: &[u8]) -> bool {
    let checksum = record.get(HEADER_BYTES - 4..HEADER_BYTES);
    let body = record.get(HEADER_BYTES..).filter(|body| !body.is_empty());
    checksum
        .zip(body)
        .is_some_and(|(checksum, body)| crc32fast::hash(body).to_le_bytes() == checksum)
}

/// Applies all valid records from the start; returns the state and the number of bytes they take. A
/// write that a power loss interrupted may leave any bytes at the end, but no valid record can
/// follow them, so a valid record after an invalid one means damage.
fn replay(path: &Path, bytes: &[u8]) -> Result<(Option<DurableState>, usize), JournalError> {
    let mut saved: Option<DurableState> = None;
    let mut offset = 0;
    while let Parsed::Valid(body, end) = parse_record(bytes, offset) {
        let change: DurableChange = decode(body)?;
        saved.get_or_insert_default().apply(change);
        offset = end;
    }
    let valid_record_follows = (offset + 1..bytes.len()).any(
        |start| matches!(parse_record(bytes, start), Parsed::Valid(body, _) if !body.is_empty()),
    );
    let corrupt = matches!(parse_record(bytes, offset), Parsed::Corrupt);
    if valid_record_follows || (corrupt && only_length_is_damaged(&bytes[offset..])) {
        return Err(JournalError::Damaged {
            path: path.to_owned(),
            offset,
        });
    }
    Ok((saved, offset))
}

//! Key files, which hold the user and password that an exporter signs or encrypts with.

use std::fs;
use std::os::unix::fs::PermissionsExt;

use super::KeyFileError;

/// The largest key file that is read, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 4096;
/// The longest user name, in bytes; the text of [`KeyFileError::Malformed`] states it too.
const MAX_USER_BYTES: usize = 128;
/// The permission bits of the file's group and of others.
const ACCESSIBLE_TO_OTHERS: u32 = 0o077;

/// Reads a key file and returns its user and password.
///
/// # Errors
/// If the file cannot be read, if its group or others have access to it, or if it is not one line `USER:
/// PASSWORD`.
pub fn read_key_file(path: &str) -> Result<(String, String), KeyFileError> {
    let metadata = fs::metadata(path)?;
    if metadata.permissions().mode() & ACCESSIBLE_TO_OTHERS != 0 {
        return Err(KeyFileError::AccessibleToOthers);
    }
    if !metadata.is_file() || metadata.len() > MAX_KEY_FILE_BYTES {
        return Err(KeyFileError::NotRegularOrTooLarge { max_bytes: MAX_KEY_FILE_BYTES });
    }
    let text = fs::read_to_string(path)?;
    let (user, password) = text.trim().split_once(':').ok_or(KeyFileError::Malformed)?;
    let (user, password) = (user.trim(), password.trim());
    let user_fits = (1..=MAX_USER_BYTES).contains(&user.len());
    if !user_fits || password.is_empty() || password.contains('\n') {
        return Err(KeyFileError::Malformed);
    }
    Ok((user.to_owned(), password.to_owned()))
}

//! Signed and encrypted packets.
//!
//! A signature is the HMAC-SHA-256 of the user's name and of all bytes after it. An encrypted packet holds
//! the SHA-1 checksum of the content and the content, encrypted with AES-256 in OFB mode; the key is the
//! SHA-256 hash of the password.

use aes::Aes256;
use hmac::{Hmac, KeyInit, Mac};
use ofb::Ofb;
use ofb::cipher::{KeyIvInit, StreamCipher};
use sha1::Sha1;
use sha2::{Digest, Sha256};

use super::encode::push_part;
use super::part_type;

/// Protection of packets.
#[derive(Clone, PartialEq, Eq)]
pub enum Security {
    /// Neither signed nor encrypted.
    None,
    /// Signed with the user's password.
    Sign {
        /// Name of the user.
        user: String,
        /// Password of the user.
        password: String,
    },
    /// Encrypted with the user's password.
    Encrypt {
        /// Name of the user.
        user: String,
        /// Password of the user.
        password: String,
    },
}

impl std::fmt::Debug for Security {
    /// Omits passwords.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Security::None => f.write_str("None"),
            Security::Sign { user, .. } => write!(f, "Sign({user})"),
            Security::Encrypt { user, .. } => write!(f, "Encrypt({user})"),
        }
    }
}

impl Security {
    /// Returns the number of bytes that the protection adds to a packet.
    pub(super) fn overhead(&self) -> usize {
        match self {
            Security::None => 0,
            Security::Sign { user, .. } => 4 + 32 + user.len(),
            Security::Encrypt { user, .. } => 4 + 2 + user.len() + 16 + 20,
        }
    }
}

/// Returns the HMAC of the user's name and the content; `None` if the password cannot be used as a key.
pub(super) fn mac(user: &str, password: &str, content: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(password.as_bytes()).ok()?;
    mac.update(user.as_bytes());
    mac.update(content);
    Some(mac)
}

/// Signs or encrypts a packet as `security` requires. `iv` is called once to get the initialization vector
/// for encryption.
pub(super) fn protect(packet: Vec<u8>, security: &Security, iv: &mut impl FnMut() -> [u8; 16]) -> Vec<u8> {
    match security {
        Security::None => packet,
        Security::Sign { user, password } => {
            let Some(mac) = mac(user, password, &packet) else { return packet };
            let mut body = mac.finalize().into_bytes().to_vec();
            body.extend(user.as_bytes());
            let mut out = Vec::with_capacity(packet.len() + body.len() + 4);
            push_part(&mut out, part_type::SIGNATURE, &body);
            out.extend(packet);
            out
        }
        Security::Encrypt { user, password } => {
            let mut encrypted = Sha1::digest(&packet).to_vec();
            encrypted.extend(packet);
            let iv = iv();
            crypt(password, &iv, &mut encrypted);
            let mut body = (user.len() as u16).to_be_bytes().to_vec();
            body.extend(user.as_bytes());
            body.extend(iv);
            body.extend(encrypted);
            let mut out = Vec::with_capacity(body.len() + 4);
            push_part(&mut out, part_type::ENCRYPTION, &body);
            out
        }
    }
}

/// Encrypts or decrypts bytes in place; in OFB mode, both are the same operation.
pub(super) fn crypt(password: &str, iv: &[u8; 16], bytes: &mut [u8]) {
    let key: [u8; 32] = Sha256::digest(password.as_bytes()).into();
    Ofb::<Aes256>::new(&key.into(), &(*iv).into()).apply_keystream(bytes);
}

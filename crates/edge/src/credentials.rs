//! What callers must know, and salts that do not tell which users exist.
//!
//! The module owns the users' secrets as the settings gave them; it relies on `pgwire` for the hashes of SCRAM.
//! The exchange itself is in `startup`.

use crate::settings::{Authentication, UserSecret};
use pgwire::api::auth::Password;
use pgwire::api::auth::sasl::scram::{SCRAM_ITERATIONS, gen_salted_password};
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};

/// Bytes of a salt, as many as PostgreSQL's own.
const SALT_BYTES: usize = 16;

/// The users' secrets as SCRAM needs them.
///
/// Salts are made from the user's name and a key that is made from all secrets: a user
/// has one salt, known or not, at every proxy with the same settings.
#[derive(Debug)]
pub struct Credentials {
    users: BTreeMap<String, UserSecret>,
    salt_key: [u8; 32],
    /// Salting a password takes long on purpose, so it is done once a user.
    salted: RefCell<HashMap<String, Vec<u8>>>,
}

impl Credentials {
    /// The secrets of the settings; nothing when every caller is believed.
    #[must_use]
    pub fn of(authentication: &Authentication) -> Option<Self> {
        let Authentication::ScramSha256 { users } = authentication else {
            return None;
        };
        let users = users.clone();
        let salt_key = salt_key(&users);
        Some(Self { users, salt_key, salted: RefCell::default() })
    }

    /// Whether there is such a user.
    #[must_use]
    pub fn contains(&self, user: &str) -> bool {
        self.users.contains_key(user)
    }

    /// What the caller must know. For an unknown user that is a password that nobody knows.
    #[must_use]
    pub fn expected_password(&self, user: &str) -> Password {
        match self.users.get(user) {
            Some(UserSecret::Verifier { salt, salted_password }) => {
                Password::new(Some(salt.clone()), salted_password.clone())
            }
            Some(UserSecret::Password(password)) => {
                let salt = self.salt(user);
                let salted = self.salt_password(user, password, &salt);
                Password::new(Some(salt), salted)
            }
            None => {
                let unknown: [u8; 32] = rand::random();
                Password::new(Some(self.salt(user)), unknown.to_vec())
            }
        }
    }

    fn salt(&self, user: &str) -> Vec<u8> {
        let mut hash = Sha256::new();
        hash.update(self.salt_key);
        hash.update(user);
        hash.finalize()[..SALT_BYTES].to_vec()
    }

    fn salt_password(&self, user: &str, password: &str, salt: &[u8]) -> Vec<u8> {
        let mut salted = self.salted.borrow_mut();
        if let Some(known) = salted.get(user) {
            return known.clone();
        }
        let made = gen_salted_password(password, salt, SCRAM_ITERATIONS);
        salted.insert(user.to_owned(), made.clone());
        made
    }
}

fn salt_key(users: &BTreeMap<String, UserSecret>) -> [u8; 32] {
    let mut hash = Sha256::new();
    let mut part = |bytes: &[u8]| {
        hash.update((bytes.len() as u64).to_be_bytes());
        hash.update(bytes);
    };
    for (name, secret) in users {
        part(name.as_bytes());
        match secret {
            UserSecret::Password(password) => part(password.as_bytes()),
            UserSecret::Verifier { salted_password, .. } => part(salted_password),
        }
    }
    hash.finalize().into()
}

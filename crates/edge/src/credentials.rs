//! Users' secrets for SCRAM authentication, and salts that don't reveal which users exist.
//!
//! The secrets come from the settings; `pgwire` computes the SCRAM hashes, and `startup` runs the
//! exchange.

use crate::settings::{Authentication, UserSecret};
use pgwire::api::auth::Password;
use pgwire::api::auth::sasl::scram::{SCRAM_ITERATIONS, gen_salted_password};
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};

/// Size of a salt in bytes, the same as PostgreSQL's.
const SALT_BYTES: usize = 16;

/// The users' secrets in the form that SCRAM needs.
///
/// A salt is derived from the user's name and a key that is derived from all secrets. Each user name
/// therefore has the same salt, whether the user exists or not, at every proxy with the same settings.
#[derive(Debug)]
pub struct Credentials {
    users: BTreeMap<String, UserSecret>,
    salt_key: [u8; 32],
    /// Salted passwords by user name. Salting is slow by design, so each password is salted only once.
    salted_passwords: RefCell<HashMap<String, Vec<u8>>>,
}

impl Credentials {
    /// Returns the secrets of the settings, or nothing if every caller is trusted.
    #[must_use]
    pub fn from_settings(authentication: &Authentication) -> Option<Self> {
        let Authentication::ScramSha256 { users } = authentication else {
            return None;
        };
        let users = users.clone();
        let salt_key = salt_key(&users);
        Some(Self { users, salt_key, salted_passwords: RefCell::default() })
    }

    /// Reports whether the user exists.
    #[must_use]
    pub fn contains(&self, user: &str) -> bool {
        self.users.contains_key(user)
    }

    /// Returns the salted password that the caller has to prove to know. For an unknown user the result
    /// is a random value that no caller can know.
    #[must_use]
    pub fn expected_password(&self, user: &str) -> Password {
        match self.users.get(user) {
            Some(UserSecret::Verifier { salt, salted_password }) => {
                Password::new(Some(salt.clone()), salted_password.clone())
            }
            Some(UserSecret::Password(password)) => {
                let salt = self.salt_of(user);
                let salted_password = self.salt_password(user, password, &salt);
                Password::new(Some(salt), salted_password)
            }
            None => {
                let random_password: [u8; 32] = rand::random();
                Password::new(Some(self.salt_of(user)), random_password.to_vec())
            }
        }
    }

    fn salt_of(&self, user: &str) -> Vec<u8> {
        let mut hash = Sha256::new();
        hash.update(self.salt_key);
        hash.update(user);
        hash.finalize()[..SALT_BYTES].to_vec()
    }

    fn salt_password(&self, user: &str, password: &str, salt: &[u8]) -> Vec<u8> {
        let mut salted_passwords = self.salted_passwords.borrow_mut();
        if let Some(cached) = salted_passwords.get(user) {
            return cached.clone();
        }
        let salted_password = gen_salted_password(password, salt, SCRAM_ITERATIONS);
        salted_passwords.insert(user.to_owned(), salted_password.clone());
        salted_password
    }
}

fn salt_key(users: &BTreeMap<String, UserSecret>) -> [u8; 32] {
    let mut hash = Sha256::new();
    let mut hash_part = |bytes: &[u8]| {
        hash.update((bytes.len() as u64).to_be_bytes());
        hash.update(bytes);
    };
    for (name, secret) in users {
        hash_part(name.as_bytes());
        match secret {
            UserSecret::Password(password) => hash_part(password.as_bytes()),
            UserSecret::Verifier { salted_password, .. } => hash_part(salted_password),
        }
    }
    hash.finalize().into()
}

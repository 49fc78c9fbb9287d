//! Encodings on which other processes and later versions rely: the messages between corktack's
//! processes, and the data folder of a control replica.
//!
//! Each expected file was written by the version that introduced the encoding. A difference means that an
//! old process cannot talk to a new one, or that a new process cannot read an old data folder.
//! After an intended change of an encoding, `UPDATE_EXPECT=1` rewrites the expected files.

mod bytes;
mod data_folder;
mod shape;
mod shapes;

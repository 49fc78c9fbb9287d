//! Forms that other processes and later versions rely on: what travels between corktack's
//! processes, and what a control replica keeps on disk.
//!
//! The expected files were written by the version that introduced them. A difference means that an
//! old process cannot talk to a new one, or that a new one cannot read an old data folder.
//! `UPDATE_EXPECT=1` writes them anew where a form is changed on purpose.

mod bytes;
mod data_folder;
mod shape;
mod shapes;

//! Reads manifests. Each document is parsed twice: first for its kind, which decides the type of the spec,
//! then for its metadata and spec.

use super::error::{DocumentLocation, ManifestError};
use corktack_control::api::{Metadata, resource_key};
use corktack_core::resources::{API_VERSION, Kind, ResourceKey, ResourceSpec, ResourceVersion};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// Resource that one document of a manifest file declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// Path of the file that holds the document.
    pub file: PathBuf,
    /// Number of the document in the file, from 1.
    pub document: usize,
    /// Kind and name of the resource.
    pub key: ResourceKey,
    /// Stored version that the change was made from; the write is refused if another version is stored.
    pub resource_version: Option<ResourceVersion>,
    /// Declared part of the resource.
    pub spec: ResourceSpec,
}

/// Kind of a document, read before the type of its spec is known.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
struct Header {
    api_version: String,
    kind: Kind,
    #[serde(rename = "metadata")]
    _metadata: serde::de::IgnoredAny,
    #[serde(rename = "spec")]
    _spec: serde::de::IgnoredAny,
    /// State that `get` prints; ignored, so that the output of `get` can be applied.
    #[serde(rename = "status", default)]
    _status: serde::de::IgnoredAny,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
struct Document<Spec> {
    #[serde(rename = "apiVersion")]
    _api_version: serde::de::IgnoredAny,
    #[serde(rename = "kind")]
    _kind: serde::de::IgnoredAny,
    metadata: Metadata,
    spec: Spec,
    #[serde(rename = "status", default)]
    _status: serde::de::IgnoredAny,
}

/// Reads manifests from a file, or from every `.yaml` and `.yml` file of a folder in the order
/// of the file names.
///
/// # Errors
/// Returns the first [`ManifestError`]: a file cannot be read, or a document cannot be parsed.
pub fn load(path: &Path) -> Result<Vec<Manifest>, ManifestError> {
    let mut manifests = Vec::new();
    for file in manifest_files(path)? {
        let read_result = std::fs::read_to_string(&file);
        let text =
            read_result.map_err(|source| ManifestError::Read { path: file.clone(), source })?;
        manifests.extend(parse(&file, &text)?);
    }
    Ok(manifests)
}

fn manifest_files(path: &Path) -> Result<Vec<PathBuf>, ManifestError> {
    let read_error = |source| ManifestError::Read { path: path.to_owned(), source };
    if !std::fs::metadata(path).map_err(read_error)?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(read_error)? {
        let file = entry.map_err(read_error)?.path();
        let extension = file.extension().and_then(|extension| extension.to_str());
        if matches!(extension, Some("yaml" | "yml")) {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Parses the documents of one file; `file` is used only in the results and errors.
///
/// # Errors
/// Returns the first [`ManifestError`].
pub fn parse(file: &Path, text: &str) -> Result<Vec<Manifest>, ManifestError> {
    let headers = serde_yaml_ng::Deserializer::from_str(text);
    let bodies = serde_yaml_ng::Deserializer::from_str(text);
    let mut manifests = Vec::new();
    for (index, (header, body)) in headers.zip(bodies).enumerate() {
        let location = DocumentLocation { file, text, document: index + 1 };
        let header: Option<Header> = location.locate_error(Deserialize::deserialize(header))?;
        // A separator without text after it yields an empty document.
        if let Some(header) = header {
            manifests.push(parse_document(&location, &header, body)?);
        }
    }
    Ok(manifests)
}

fn parse_document(
    location: &DocumentLocation<'_>,
    header: &Header,
    body: serde_yaml_ng::Deserializer<'_>,
) -> Result<Manifest, ManifestError> {
    if header.api_version != API_VERSION {
        return Err(location.api_version_error(&header.api_version));
    }
    let (metadata, spec) = match header.kind {
        Kind::DatabaseGroup => read_body(location, body, ResourceSpec::DatabaseGroup),
        Kind::PriorityClass => read_body(location, body, ResourceSpec::PriorityClass),
        Kind::Binding => read_body(location, body, ResourceSpec::Binding),
    }?;
    let key = resource_key(header.kind, &metadata.name);
    let key = key.map_err(|source| location.name_error(&metadata.name, source))?;
    let resource_version = metadata.resource_version;
    Ok(Manifest {
        file: location.file.to_owned(),
        document: location.document,
        key,
        resource_version,
        spec,
    })
}

fn read_body<Spec: DeserializeOwned>(
    location: &DocumentLocation<'_>,
    body: serde_yaml_ng::Deserializer<'_>,
    wrap: fn(Spec) -> ResourceSpec,
) -> Result<(Metadata, ResourceSpec), ManifestError> {
    let document: Document<Spec> = location.locate_error(Deserialize::deserialize(body))?;
    Ok((document.metadata, wrap(document.spec)))
}

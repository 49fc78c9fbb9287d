//! Reads manifests: each document twice, once for its kind and once for its declared part.

use super::error::{ManifestError, Place};
use corktack_control::api::{Metadata, resource_key};
use corktack_core::resources::{API_VERSION, Kind, ResourceKey, ResourceSpec, ResourceVersion};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// One document of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The file it stands in.
    pub file: PathBuf,
    /// Its place in the file, from 1.
    pub document: usize,
    /// Kind and name.
    pub key: ResourceKey,
    /// Version the change was made from.
    pub resource_version: Option<ResourceVersion>,
    /// The declared part.
    pub spec: ResourceSpec,
}

/// What tells the kind of a document, before its declared part is read.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
struct Header {
    api_version: String,
    kind: Kind,
    #[serde(rename = "metadata")]
    _metadata: serde::de::IgnoredAny,
    #[serde(rename = "spec")]
    _spec: serde::de::IgnoredAny,
    /// What `get` shows as decided by the system; ignored, so that what was read can be applied.
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

/// Reads manifests from a file, or from every `.yaml` and `.yml` file of a folder in
/// order of their names.
///
/// # Errors
/// The first [`ManifestError`].
pub fn load(path: &Path) -> Result<Vec<Manifest>, ManifestError> {
    let mut manifests = Vec::new();
    for file in files(path)? {
        let read = std::fs::read_to_string(&file);
        let text = read.map_err(|source| ManifestError::Read { path: file.clone(), source })?;
        manifests.extend(parse(&file, &text)?);
    }
    Ok(manifests)
}

fn files(path: &Path) -> Result<Vec<PathBuf>, ManifestError> {
    let failed = |source| ManifestError::Read { path: path.to_owned(), source };
    if !std::fs::metadata(path).map_err(failed)?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(failed)? {
        let file = entry.map_err(failed)?.path();
        let extension = file.extension().and_then(|extension| extension.to_str());
        if matches!(extension, Some("yaml" | "yml")) {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Parses the documents of one file.
///
/// # Errors
/// The first [`ManifestError`].
pub fn parse(file: &Path, text: &str) -> Result<Vec<Manifest>, ManifestError> {
    let headers = serde_yaml_ng::Deserializer::from_str(text);
    let bodies = serde_yaml_ng::Deserializer::from_str(text);
    let mut manifests = Vec::new();
    for (number, (header, body)) in headers.zip(bodies).enumerate() {
        let place = Place { file, text, document: number + 1 };
        let header: Option<Header> = place.form(Deserialize::deserialize(header))?;
        // A separator with nothing after it is an empty document.
        if let Some(header) = header {
            manifests.push(parse_document(&place, &header, body)?);
        }
    }
    Ok(manifests)
}

fn parse_document(
    place: &Place<'_>,
    header: &Header,
    body: serde_yaml_ng::Deserializer<'_>,
) -> Result<Manifest, ManifestError> {
    if header.api_version != API_VERSION {
        return Err(place.api_version(&header.api_version));
    }
    let (metadata, spec) = match header.kind {
        Kind::DatabaseGroup => read_body(place, body, ResourceSpec::DatabaseGroup),
        Kind::PriorityClass => read_body(place, body, ResourceSpec::PriorityClass),
        Kind::Binding => read_body(place, body, ResourceSpec::Binding),
    }?;
    let key = resource_key(header.kind, &metadata.name);
    let key = key.map_err(|source| place.name(&metadata.name, source))?;
    let resource_version = metadata.resource_version;
    Ok(Manifest {
        file: place.file.to_owned(),
        document: place.document,
        key,
        resource_version,
        spec,
    })
}

fn read_body<Spec: DeserializeOwned>(
    place: &Place<'_>,
    body: serde_yaml_ng::Deserializer<'_>,
    wrap: fn(Spec) -> ResourceSpec,
) -> Result<(Metadata, ResourceSpec), ManifestError> {
    let document: Document<Spec> = place.form(Deserialize::deserialize(body))?;
    Ok((document.metadata, wrap(document.spec)))
}

//! `publish`: cuts a file of weights into chunks and puts them at the origin.

use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use azurestand_spread::{CHUNK_BYTES, ChunkContent, Chunker, Manifest};
use azurestand_types::{Digest, ModelName, VersionName};
use bytes::Bytes;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::failure::Failure;
use crate::origin::Origin;
use crate::report::Report;

const READ_BYTES: usize = 1024 * 1024;

/// What to publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Publication {
    pub(crate) file: PathBuf,
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) origin: SocketAddr,
}

#[derive(Serialize)]
struct Published {
    digest: Digest,
    bytes: u64,
    chunks: usize,
    sent: u64,
}

pub(crate) async fn run(publication: &Publication) -> Result<Report, Failure> {
    let failed = |error| Failure::File(publication.file.clone(), error);
    let file = File::open(&publication.file).map_err(failed)?;
    let length = file.metadata().map_err(failed)?.len();
    let upload = Upload::new(publication.origin, length);
    let (manifest, sent) = upload.carry_out(file, publication).await?;
    let published = Published {
        digest: manifest.digest(),
        bytes: manifest.size(),
        chunks: manifest.chunks().len(),
        sent,
    };
    Ok(Report::new(text(publication, &published), &published))
}

fn text(publication: &Publication, published: &Published) -> String {
    let Publication { model, version, .. } = publication;
    format!(
        "{model} {version}: {} bytes in {} chunks, {} bytes sent\n\
         To put it in force, edit the section models:\n\n\
         [models.{model}]\nversion = \"{version}\"\n\n\
         [models.{model}.versions]\n{version} = \"{}\"",
        published.bytes, published.chunks, published.sent, published.digest
    )
}

struct Upload {
    origin: Origin,
    bar: ProgressBar,
    sent: u64,
}

impl Upload {
    fn new(origin: SocketAddr, length: u64) -> Self {
        let bar = ProgressBar::new(length);
        let style = "{bar:40} {bytes} of {total_bytes}, {binary_bytes_per_sec}, {eta} left";
        if let Ok(style) = ProgressStyle::with_template(style) {
            bar.set_style(style);
        }
        Self {
            origin: Origin::new(origin),
            bar,
            sent: 0,
        }
    }

    async fn carry_out(
        mut self,
        mut file: File,
        publication: &Publication,
    ) -> Result<(Manifest, u64), Failure> {
        let mut chunker = Chunker::new(CHUNK_BYTES);
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let count = read(&mut file, &mut buffer, &publication.file)?;
            if count == 0 {
                break;
            }
            for chunk in chunker.push(&buffer[..count]) {
                self.put(chunk).await?;
            }
        }
        let (model, version) = (publication.model.clone(), publication.version.clone());
        let (manifest, last) = chunker.finish(model, version)?;
        if let Some(chunk) = last {
            self.put(chunk).await?;
        }
        // The manifest goes last, so that nobody finds one whose chunks are missing.
        let path = format!("/manifests/{}", manifest.digest());
        self.origin.put(&path, manifest.encode().into()).await?;
        self.bar.finish_and_clear();
        Ok((manifest, self.sent))
    }

    /// Chunks that an earlier version brought to the origin are not sent again.
    async fn put(&mut self, chunk: ChunkContent) -> Result<(), Failure> {
        let path = format!("/chunks/{}", chunk.digest);
        let length = chunk.content.len() as u64;
        if !self.origin.has(&path).await? {
            self.origin.put(&path, Bytes::clone(&chunk.content)).await?;
            self.sent += length;
        }
        self.bar.inc(length);
        Ok(())
    }
}

fn read(file: &mut File, buffer: &mut [u8], path: &Path) -> Result<usize, Failure> {
    file.read(buffer)
        .map_err(|error| Failure::File(path.to_owned(), error))
}

//! Links from edges: connections that multiplex streams, each identified by its id, over frames.
//!
//! Each link holds its socket and its open streams, which `stream` serves. `backlog` pauses reading from a
//! link whose edge does not receive its answers.

use crate::backlog::{self, LinkQueue, LinkSender};
use crate::context::{OwnerContext, Phase};
use crate::outbound::Outbound;
use crate::stream;
use crate::stream_input::{self, StreamInput, StreamSender};
use corktack_protocol::frame::{FrameCodec, FrameError};
use corktack_protocol::peer::{Batch, EdgeMessage, OwnerMessage, StreamId};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use prometheus_client::metrics::gauge::Gauge;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::codec::Framed;

type Frames = Framed<TcpStream, FrameCodec<OwnerMessage, EdgeMessage>>;

/// Pause after a failed accept, which prevents a busy loop when file descriptors run out. A longer pause
/// delays edges after descriptors are available again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Reasons why a link was closed. The open transactions of all its streams are rolled back.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    /// A frame could not be read or written.
    #[error("link failed")]
    Frame(#[from] FrameError),
    /// The edge closed the link.
    #[error("link closed by the edge")]
    Closed,
    /// The first message is not a hello, or a later message is one.
    #[error("link without a proper hello")]
    Hello,
    /// A stream has more unanswered batches than the limit allows.
    #[error("stream {stream:?} sent batches ahead of their answers")]
    Flood { stream: StreamId },
    /// The id of a new stream is not above that of the last one.
    #[error("stream {offered:?} does not rise above {last:?}")]
    StreamId { offered: StreamId, last: StreamId },
}

/// Accepts links until the owner stops.
pub(crate) async fn accept(context: Arc<OwnerContext>, listener: std::net::TcpListener) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:% = error; "owner cannot listen");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let _ = socket.set_nodelay(true);
                context.spawn(serve(Arc::clone(&context), socket));
            }
            Err(error) => {
                log::warn!(error:% = error; "owner cannot accept a link");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(context: Arc<OwnerContext>, socket: TcpStream) {
    let _open = context.count_link();
    let peer = socket.peer_addr().map(|address| address.to_string()).unwrap_or_default();
    let frames: Frames = Framed::new(socket, FrameCodec::default());
    let (sink, source) = frames.split();
    let (outbound, queue) = backlog::queue();
    let (ended_sender, ended_receiver) = mpsc::unbounded_channel();
    let hello = OwnerMessage::Hello {
        proxy: context.settings.proxy.clone(),
        incarnation: context.settings.incarnation,
    };
    outbound.send(hello);
    let phase = context.subscribe_phase();
    let link = Link { context, outbound, ended_sender, streams: HashMap::new(), last_stream: None };
    let result = tokio::select! {
        result = link.read(source, ended_receiver) => result,
        result = write(sink, queue, phase) => result,
    };
    match result {
        Ok(()) | Err(LinkError::Closed) => {}
        Err(error) => log::warn!(peer:% = peer, error:? = error; "link closed"),
    }
}

/// Writes queued messages to the edge, and announces that the owner stops. Returns when links are to close
/// and the queue is empty.
async fn write(
    mut sink: SplitSink<Frames, OwnerMessage>,
    mut queue: LinkQueue,
    mut phase: watch::Receiver<Phase>,
) -> Result<(), LinkError> {
    let mut is_stop_announced = false;
    loop {
        let current_phase = *phase.borrow_and_update();
        if current_phase >= Phase::Draining && !is_stop_announced {
            is_stop_announced = true;
            sink.feed(OwnerMessage::Stopping).await?;
        }
        while let Some(message) = queue.try_recv() {
            sink.feed(message).await?;
        }
        sink.flush().await?;
        if current_phase == Phase::Closing {
            sink.close().await?;
            return Ok(());
        }
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => sink.feed(message).await?,
                None => return Ok(()),
            },
            // The context keeps the sender alive.
            _ = phase.changed() => {}
        }
    }
}

/// Guard that counts a link as paused until the guard is dropped.
struct PausedLink<'a>(&'a Gauge);

impl<'a> PausedLink<'a> {
    fn new(gauge: &'a Gauge) -> Self {
        gauge.inc();
        Self(gauge)
    }
}

impl Drop for PausedLink<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}

struct Link {
    context: Arc<OwnerContext>,
    outbound: LinkSender,
    ended_sender: mpsc::UnboundedSender<StreamId>,
    /// Open streams. Dropping the map signals to all of them that their caller is gone.
    streams: HashMap<StreamId, StreamSender>,
    last_stream: Option<StreamId>,
}

impl Link {
    async fn read(
        mut self,
        mut source: SplitStream<Frames>,
        mut ended_receiver: mpsc::UnboundedReceiver<StreamId>,
    ) -> Result<(), LinkError> {
        match source.next().await.ok_or(LinkError::Closed)?? {
            EdgeMessage::Hello { .. } => {}
            _ => return Err(LinkError::Hello),
        }
        loop {
            if self.outbound.is_full() {
                let _paused = PausedLink::new(&self.context.metrics.links_held);
                self.outbound.wait_for_space().await;
            }
            tokio::select! {
                message = source.next() => self.dispatch(message.ok_or(LinkError::Closed)??)?,
                Some(stream) = ended_receiver.recv() => drop(self.streams.remove(&stream)),
            }
        }
    }

    fn dispatch(&mut self, message: EdgeMessage) -> Result<(), LinkError> {
        match message {
            EdgeMessage::Hello { .. } => return Err(LinkError::Hello),
            EdgeMessage::Open { stream, request } => {
                self.check_stream_id(stream)?;
                let (sender, input) = stream_input::channel();
                self.streams.insert(stream, sender);
                let outbound =
                    Outbound::new(stream, self.outbound.clone(), self.ended_sender.clone());
                let context = Arc::clone(&self.context);
                let open = context.count_stream();
                actix_rt::spawn(stream::run(context, *request, input, outbound, open));
            }
            EdgeMessage::Batch { stream, batch } => self.forward_batch(stream, batch)?,
            EdgeMessage::Cancel { stream } => self.forward_input(stream, StreamInput::Cancel),
            EdgeMessage::Close { stream } => drop(self.streams.remove(&stream)),
            EdgeMessage::Window { stream, bytes } => {
                self.forward_input(stream, StreamInput::Window(bytes))
            }
        }
        Ok(())
    }

    fn check_stream_id(&mut self, offered: StreamId) -> Result<(), LinkError> {
        match self.last_stream {
            Some(last) if offered <= last => Err(LinkError::StreamId { offered, last }),
            _ => {
                self.last_stream = Some(offered);
                Ok(())
            }
        }
    }

    fn forward_batch(&self, stream: StreamId, batch: Batch) -> Result<(), LinkError> {
        match self.streams.get(&stream) {
            Some(sender) if sender.is_over_limit(&batch) => Err(LinkError::Flood { stream }),
            Some(sender) => {
                sender.send(StreamInput::Batch(batch));
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Passes input to a stream. Input for a stream that has ended is dropped: the edge sent it before it
    /// received the stream's end.
    fn forward_input(&self, stream: StreamId, input: StreamInput) {
        if let Some(sender) = self.streams.get(&stream) {
            sender.send(input);
        }
    }
}

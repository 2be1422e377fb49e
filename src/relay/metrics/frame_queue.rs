//! The in-memory queue of frames that an exporter has yet to send.

use std::collections::VecDeque;

/// Encoded samples that are sent as a unit.
#[derive(Clone, Debug)]
pub(super) struct Frame {
    pub(super) bytes: Vec<u8>,
    /// The number of samples in the frame.
    pub(super) samples: u64,
}

/// Frames in the order in which they are sent, limited in bytes.
#[derive(Debug)]
pub(super) struct FrameQueue {
    frames: VecDeque<Frame>,
    queued_bytes: usize,
    max_bytes: usize,
    /// Bytes of the first frame that have been written.
    written_bytes: usize,
}

impl FrameQueue {
    pub(super) fn new(max_bytes: usize) -> FrameQueue {
        FrameQueue { frames: VecDeque::new(), queued_bytes: 0, max_bytes, written_bytes: 0 }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    pub(super) fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Returns the number of samples in all frames.
    pub(super) fn samples(&self) -> u64 {
        self.frames.iter().map(|frame| frame.samples).sum()
    }

    /// Returns whether the first frame is partly written.
    pub(super) fn is_partly_written(&self) -> bool {
        self.written_bytes > 0
    }

    /// Returns the bytes of the first frame; `None` if the queue is empty.
    pub(super) fn first(&self) -> Option<&[u8]> {
        self.frames.front().map(|frame| &frame.bytes[..])
    }

    /// Returns the bytes of the first frame that have not been written; `None` if the queue is empty.
    pub(super) fn unwritten(&self) -> Option<&[u8]> {
        self.first().map(|bytes| &bytes[self.written_bytes..])
    }

    /// Adds a frame. Returns the frames that were evicted to make room, oldest first, followed by the new
    /// frame itself if it still does not fit.
    ///
    /// A partly written frame is never evicted, because the stream would be cut within it.
    pub(super) fn push(&mut self, frame: Frame) -> Vec<Frame> {
        let mut evicted = Vec::new();
        while self.queued_bytes + frame.bytes.len() > self.max_bytes {
            let Some(oldest) = self.frames.remove(self.first_unwritten_index()) else {
                evicted.push(frame);
                return evicted;
            };
            self.queued_bytes -= oldest.bytes.len();
            evicted.push(oldest);
        }
        self.queued_bytes += frame.bytes.len();
        self.frames.push_back(frame);
        evicted
    }

    /// Removes all but the `newest` newest frames and returns them, oldest first. A partly written frame
    /// stays.
    pub(super) fn drain_older_than(&mut self, newest: usize) -> Vec<Frame> {
        let mut drained = Vec::new();
        let first = self.first_unwritten_index();
        while self.frames.len() > newest.max(first) {
            let Some(oldest) = self.frames.remove(first) else { break };
            self.queued_bytes -= oldest.bytes.len();
            drained.push(oldest);
        }
        drained
    }

    /// Marks the first frame as unwritten, so that it is sent again from its beginning.
    pub(super) fn restart_first(&mut self) {
        self.written_bytes = 0;
    }

    /// Removes the first frame, even if it is partly written.
    pub(super) fn remove_first(&mut self) {
        self.written_bytes = 0;
        self.queued_bytes -= self.frames.pop_front().map_or(0, |frame| frame.bytes.len());
    }

    /// Records that bytes of the first frame were written. Returns whether the frame was complete and was
    /// removed.
    pub(super) fn record_written(&mut self, count: usize) -> bool {
        self.written_bytes += count;
        let complete = self.frames.front().is_some_and(|frame| self.written_bytes >= frame.bytes.len());
        if complete {
            self.remove_first();
        }
        complete
    }

    fn first_unwritten_index(&self) -> usize {
        usize::from(self.is_partly_written())
    }
}

//! The queue of log lines when the log's reader is stalled.

use std::io::Write;
use std::sync::mpsc;

use oriolereel::telemetry;

/// An output that blocks until it is released, as a full pipe does.
struct Blocked(mpsc::Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Receiving fails once the test has dropped the sender.
        let _ended = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_blocks_no_writer_and_dropped_lines_are_counted() {
    const LINES: u64 = 20_000;
    let (release, released) = mpsc::channel();
    let mut queue = telemetry::Queue::start(Blocked(released));
    let before = telemetry::LOG_DROPPED.get();
    for _line in 0..LINES {
        queue
            .write_all(b"{}\n")
            .expect("the queue accepts every line");
    }
    let dropped = telemetry::LOG_DROPPED.get() - before;
    assert!(dropped > LINES / 2, "only {dropped} lines were dropped");
    drop(release);
}

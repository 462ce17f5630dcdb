//! Memory of a node together with the bytes that its kernel holds for it: bytes that have arrived
//! and were not read yet count toward the memory of a machine.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// Records the peak of the resident memory and the unread bytes of a node.
pub struct MemoryWatch {
    peak_bytes: Arc<AtomicU64>,
    sampling: Option<JoinHandle<()>>,
    stopped: Arc<AtomicBool>,
}

impl MemoryWatch {
    /// Begins to watch a process and its connections at one address.
    pub fn start(process_id: u32, address: SocketAddr) -> Self {
        let peak_bytes = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let (peak, stop) = (peak_bytes.clone(), stopped.clone());
        let sampling = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let bytes = resident_bytes(process_id) + unread_bytes(address);
                peak.fetch_max(bytes, Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            peak_bytes,
            sampling: Some(sampling),
            stopped,
        }
    }

    pub fn peak_bytes(&self) -> u64 {
        self.peak_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // A panic of the thread has been printed already.
        self.sampling.take().map(JoinHandle::join);
    }
}

/// Returns the resident memory of a process; 0 if it ended.
fn resident_bytes(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.map_or(0, |text| text.parse::<u64>().unwrap() * 1_024)
}

/// Returns the bytes that arrived on the connections at a local address and were not read, also of
/// connections that were not accepted yet.
fn unread_bytes(address: SocketAddr) -> u64 {
    let IpAddr::V4(ip) = address.ip() else {
        panic!("not an IPv4 address: {address}");
    };
    let ip = u32::from_le_bytes(ip.octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let unread = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_connection = fields[1] == local && fields[3] != LISTENING;
        let (_, received) = fields[4].split_once(':').filter(|_| is_connection)?;
        u64::from_str_radix(received, 16).ok()
    });
    unread.sum()
}

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use bpaf::ShellComp;

/// Operates a wigeonhall query tier.
///
///
/// Exit codes: 0 done; 1 wrong command line; 2 the text has errors; 3 another change was
/// accepted first; 4 a node is missing, behind or not ready; 5 store, nodes or file
/// not available, nothing was changed; 6 it is not known whether the change was
/// accepted; 7 an alert on service-level burn fires.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options("wigeonhall"), version)]
pub(crate) enum Command {
    /// Make a text the accepted configuration and wait until every node reports it
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Generation that the text was edited from; a later one is not replaced
        #[bpaf(argument("GENERATION"))]
        base: Option<u64>,
        #[bpaf(external(text_file))]
        file: TextFile,
    },
    /// Show how fast each query class spends its error budget, and on what
    #[bpaf(command)]
    Burn {
        #[bpaf(external)]
        connection: Connection,
    },
    /// Sum what became of requests, and why, from structured logs of the entry tier
    #[bpaf(command)]
    Causes {
        /// Print the result as JSON
        json: bool,
        /// Structured logs; - for standard input
        #[bpaf(positional("FILE"), some("no file is named"))]
        logs: Vec<String>,
    },
    /// List every mistake of a deployment text
    #[bpaf(command)]
    Check {
        /// Print the result as JSON
        json: bool,
        /// The file holds the settings of a node
        node: bool,
        #[bpaf(external(text_file))]
        file: TextFile,
    },
    /// Print a completion script for bash, zsh, fish or elvish
    #[bpaf(command)]
    Completion {
        /// bash, zsh, fish or elvish
        #[bpaf(positional("SHELL"))]
        shell: Shell,
    },
    /// Start stand-ins and a small fleet in this process and send queries
    #[bpaf(command)]
    Demo {
        /// Print the result as JSON
        json: bool,
    },
    /// List what a text would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        connection: Connection,
        /// Compare with this generation instead of the one in force
        #[bpaf(argument("NUMBER"))]
        generation: Option<u64>,
        #[bpaf(external(text_file))]
        file: TextFile,
    },
    /// List what the nodes decided on a request or a replica, and why
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        connection: Connection,
        /// Structured logs of the entry tier to read instead of asking nodes; - for standard input
        #[bpaf(argument("FILE"))]
        logs: Vec<String>,
        #[bpaf(external(subject_option))]
        subject: SubjectOption,
    },
    /// List the accepted generations, or show the text of one
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        connection: Connection,
        /// Generations to list
        #[bpaf(argument("NUMBER"), fallback(20), display_fallback)]
        limit: usize,
        /// Show the text of this generation
        #[bpaf(positional("GENERATION"))]
        generation: Option<u64>,
    },
    /// Return a data centre or VM to service
    #[bpaf(command)]
    In {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        #[bpaf(external(place_option))]
        place: PlaceOption,
    },
    /// Compare with a plain way of routing, in virtual time
    #[bpaf(command)]
    Measure {
        /// Compare policies of the entry tier instead
        policies: bool,
        /// Measure the processor time of the decision logic instead
        processor_time: bool,
        /// Print the result as JSON
        json: bool,
        /// Leave out the plain way
        product_only: bool,
        /// Write charts of the ways to hold limits into this directory
        #[bpaf(argument("DIRECTORY"))]
        plot: Option<PathBuf>,
        /// Virtual time that is counted in each run
        #[bpaf(argument("MS"), fallback(4000), display_fallback)]
        run_ms: u64,
        /// Only scenarios whose name contains this text
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        scenario: String,
        /// Number of seeds
        #[bpaf(argument("NUMBER"), fallback(2), display_fallback)]
        seeds: u64,
        /// Only deployments whose name contains this text
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        site: String,
        /// Print what the time of the slowest 1% of the answers was spent on
        trace: bool,
        /// Compare ways to hold the limits of replicas across entry nodes instead
        ways: bool,
    },
    /// Take a data centre or VM out of service
    #[bpaf(command)]
    Out {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Send the evacuation to the nodes of --nodes directly, for use while the store is down
        without_store: bool,
        #[bpaf(external(place_option))]
        place: PlaceOption,
    },
    /// Run stand-ins for the targets of a deployment and for the platform
    #[bpaf(command)]
    Standins {
        /// Address of the object API
        #[bpaf(argument("ADDRESS"), fallback(([127, 0, 0, 1], 7901).into()), display_fallback)]
        store: SocketAddr,
        /// Address of the list of VMs
        #[bpaf(argument("ADDRESS"), fallback(([127, 0, 0, 1], 7902).into()), display_fallback)]
        vm_list: SocketAddr,
        /// Time of a request at a target
        #[bpaf(argument("US"), fallback(2000), display_fallback)]
        service_us: u64,
        /// Time after which they stop
        #[bpaf(argument("S"), fallback(600), display_fallback)]
        run_s: u64,
        #[bpaf(external(text_file))]
        file: TextFile,
    },
    /// Show the state of every node, and the replicas that do not work as usual
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        connection: Connection,
    },
}

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(connection))]
pub(crate) struct Connection {
    /// Address of the object API
    #[bpaf(env("WIGEONHALL_STORE"), argument("ADDRESS"))]
    pub(crate) store: Option<SocketAddr>,
    /// Addresses of nodes for callers, separated by commas; without it, the VMs of the
    /// deployment
    #[bpaf(env("WIGEONHALL_NODES"), argument("ADDRESSES"), optional)]
    pub(crate) nodes: Option<AddressList>,
    /// Longest time for one call to the store or a node
    #[bpaf(argument("MS"), fallback(1000), display_fallback)]
    pub(crate) timeout_ms: u64,
    /// Print the result as JSON
    pub(crate) json: bool,
}

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(change_options))]
pub(crate) struct ChangeOptions {
    /// Who makes the change; by default the name of the user
    #[bpaf(env("WIGEONHALL_AUTHOR"), argument("NAME"), fallback_with(user_name))]
    pub(crate) author: String,
    /// Longest time to wait for nodes, and to read back a lost reply
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    pub(crate) wait_s: u64,
}

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(text_file))]
pub(crate) struct TextFile {
    /// File in YAML, or - for standard input
    #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: Some("*.yaml") }))]
    pub(crate) path: String,
}

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(place_option))]
pub(crate) enum PlaceOption {
    DataCentre {
        /// Name of a data centre
        #[bpaf(argument("NAME"))]
        data_centre: String,
    },
    Vm {
        /// Name of a VM
        #[bpaf(argument("NAME"))]
        vm: String,
    },
}

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(subject_option))]
pub(crate) enum SubjectOption {
    Replica {
        /// Name of a replica
        #[bpaf(argument("NAME"))]
        replica: String,
    },
    Request {
        /// Id of a request
        #[bpaf(argument("ID"))]
        request: String,
    },
}

/// A list of addresses, separated by commas.
#[derive(Clone, Debug)]
pub(crate) struct AddressList(pub(crate) Vec<SocketAddr>);

impl FromStr for AddressList {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split(',').map(str::trim).filter(|it| !it.is_empty());
        let addresses = parts.map(|part| {
            let address = part.parse::<SocketAddr>();
            address.map_err(|_| format!("`{part}` is not an address such as 127.0.0.1:8080"))
        });
        addresses.collect::<Result<Vec<_>, _>>().map(Self)
    }
}

/// A shell for which completion scripts can be generated.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shell {
    Bash,
    Elvish,
    Fish,
    Zsh,
}

impl FromStr for Shell {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "bash" => Ok(Self::Bash),
            "elvish" => Ok(Self::Elvish),
            "fish" => Ok(Self::Fish),
            "zsh" => Ok(Self::Zsh),
            _ => Err(format!("`{text}` is none of bash, zsh, fish and elvish")),
        }
    }
}

/// Returns the name of the user from the environment that the login shell sets.
fn user_name() -> Result<String, String> {
    let names = ["USER", "LOGNAME"];
    let found = names.iter().find_map(|name| std::env::var(name).ok());
    found.ok_or_else(|| "give your name with --author or WIGEONHALL_AUTHOR".into())
}

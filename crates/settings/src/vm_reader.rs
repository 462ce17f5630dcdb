use std::sync::Arc;

use crate::VmText;
use crate::deployment_reader::DeploymentReader;
use crate::reader::line;
use crate::tree::Item;
use crate::tree::Tree;

impl DeploymentReader {
    pub(crate) fn vm(&mut self, name: &Arc<str>, at: u64, item: &Item) {
        let (data_centre, node_address, caller_address, out) = if let Tree::Text(text) = &item.value
        {
            let at = line(item);
            let forms =
                "`DATA_CENTRE NODE_ADDRESS CALLER_ADDRESS`, with `out` after it if it is out";
            let what = format_args!("VM `{name}`");
            let Some(([data_centre, node, caller], out)) = self.short_form(text, at, what, forms)
            else {
                return;
            };
            let node = self.reader.address(node, at, "node_address");
            let caller = self.reader.address(caller, at, "caller_address");
            (Some(self.shared(data_centre)), node, caller, out)
        } else {
            let what = format!("VM `{name}`");
            let entries = self.reader.map(item, &what);
            let known = ["caller_address", "data_centre", "node_address", "out"];
            self.reader.known_keys(entries, &known, &what);
            let data_centre = self.data_centre_field(entries, at, &what);
            let mut address = |key: &str| self.reader.address_field(entries, key, at, &what);
            let node = address("node_address");
            let caller = address("caller_address");
            (data_centre, node, caller, self.reader.flag(entries, "out"))
        };
        let addresses = [
            ("node address of VM", node_address),
            ("caller address of VM", caller_address),
        ];
        self.keep_entry(at, data_centre.as_ref(), &addresses, name);
        if let (Some(data_centre), Some(node_address), Some(caller_address)) =
            (data_centre, node_address, caller_address)
        {
            let value = VmText {
                caller_address,
                data_centre,
                node_address,
                out,
            };
            self.text.vms.entry(name.clone()).or_insert(value);
        }
    }
}

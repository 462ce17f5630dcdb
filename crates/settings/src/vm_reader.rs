use std::sync::Arc;

use crate::VmText;
use crate::deployment_reader::DeploymentReader;
use crate::reader::item_line;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;

impl DeploymentReader {
    pub(crate) fn read_vm(&mut self, name: &Arc<str>, line: u64, item: &YamlItem) {
        let (data_centre, node_address, caller_address, out) = if let Yaml::Text(text) = &item.value
        {
            let line = item_line(item);
            let forms =
                "`DATA_CENTRE NODE_ADDRESS CALLER_ADDRESS`, with `out` after it if it is out";
            let what = format_args!("VM `{name}`");
            let Some(([data_centre, node, caller], out)) = self.short_form(text, line, what, forms)
            else {
                return;
            };
            let node = self.reader.parse_address(node, line, "node_address");
            let caller = self.reader.parse_address(caller, line, "caller_address");
            (Some(self.interned(data_centre)), node, caller, out)
        } else {
            let what = format!("VM `{name}`");
            let entries = self.reader.mapping(item, &what);
            let known = ["caller_address", "data_centre", "node_address", "out"];
            self.reader.report_unknown_keys(entries, &known, &what);
            let data_centre = self.data_centre_field(entries, line, &what);
            let mut address = |key: &str| self.reader.address_field(entries, key, line, &what);
            let node = address("node_address");
            let caller = address("caller_address");
            (data_centre, node, caller, self.reader.flag(entries, "out"))
        };
        let addresses = [
            ("node address of VM", node_address),
            ("caller address of VM", caller_address),
        ];
        self.record_entry_lines(line, data_centre.as_ref(), &addresses, name);
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

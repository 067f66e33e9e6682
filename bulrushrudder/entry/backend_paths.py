"""The paths of an entry process to backend servers, and those it relays."""

from bulrushrudder.entry import relay_search
from bulrushrudder.entry import routed_network
from bulrushrudder.entry import tunnel_server


class BackendPaths:
    """Reaches servers through other VMs, and relays for them.

    :param direct: the DirectNetwork of this VM.
    :param view: the View of the log.
    :param owner: the Owner that identifies this process.
    :param settings: the Settings of the VM.
    :param metrics: the EntryMetrics.
    :param is_leaving: function that returns whether the process stops.
    :param ledger: the Ledger of the process.
    :ivar network: the RoutedNetwork.
    :ivar tunnels: the TunnelServer.
    """

    def __init__(
        self, direct, view, owner, settings, metrics, is_leaving, ledger
    ):
        search = relay_search.RelaySearch(
            view, owner, settings.zone, settings.secrets.cluster
        )
        self.network = routed_network.RoutedNetwork(
            direct, search, view, metrics
        )
        self.tunnels = tunnel_server.TunnelServer(
            direct,
            self.network,
            view,
            metrics,
            is_leaving,
            settings.zone,
            ledger,
        )

    def close(self):
        """End what is under way, and break the tunnels."""
        self.network.close()
        self.tunnels.close()

"""At most one lease holder takes itself for the only one to grant calls."""

from tests import test_relay_lease_terms


class SoleHolderMachine(test_relay_lease_terms.LeaseTermMachine):
    """Nodes that check, whenever they could grant, who else may."""

    def _send_order(self, node):
        alone = [
            name
            for name, other in self.nodes.items()
            if other.session.is_alone(test_relay_lease_terms.ENGINE)
        ]
        assert len(alone) <= 1


TestSoleHolder = SoleHolderMachine.TestCase

import socket
import unittest

from bulrushrudder.utils import ports


class FreePortsTests(unittest.TestCase):
    def test_ports_are_not_given_to_other_sockets(self):
        # Guards against "Address already in use": the kernel gave a port
        # that had been found free to a connection or another listener.
        found = ports.free_ports(20)
        with socket.socket() as other:
            other.bind((ports.LOOPBACK, 0))
            kernel_port = other.getsockname()[1]
        first = int(ports.RANGE_FILE.read_text().split()[0])
        self.assertGreaterEqual(kernel_port, first)
        self.assertLess(max(found), first)

    def test_ports_are_not_found_twice_in_a_row(self):
        found = [*ports.free_ports(20), *ports.free_ports(20)]
        self.assertEqual(len(set(found)), 40)

    def test_port_that_somebody_listens_on_is_left_out(self):
        (port,) = ports.free_ports(1)
        with socket.socket() as listener:
            listener.bind((ports.LOOPBACK, port + 1))
            listener.listen()
            self.assertNotIn(port + 1, ports.free_ports(5))


if __name__ == '__main__':
    unittest.main()

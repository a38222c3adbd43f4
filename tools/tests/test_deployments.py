"""Tests of the deployments that the end-to-end tests start."""

import pathlib
import socket
import unittest

from tools import deployments


class PortsTest(unittest.TestCase):
    def test_ports_are_reserved_until_the_deployment_is_closed(self):
        """Two test runs with the same ports would stop each other's hosts."""
        deployment = deployments.make_deployment(pathlib.Path())
        self.addCleanup(deployment.close)
        ports = deployment.ports
        self.assertEqual(6, len(set(ports)))
        for port in ports:
            with self.assertRaises(OSError):
                socket.create_server(("127.0.0.1", port)).close()
        deployment.close()
        for port in ports:
            socket.create_server(("127.0.0.1", port)).close()

    def test_hosts_can_listen_on_reserved_ports(self):
        """The reservation must not take the ports from its own hosts."""
        deployment = deployments.make_deployment(pathlib.Path())
        self.addCleanup(deployment.close)
        ip = deployment.scheduler_ip(0)
        for port in deployment.ports:
            socket.create_server((ip, port)).close()

"""A TCP proxy between a node and its backend. Its open connections can be made silent for good: they stay open, and
nothing passes any more in either direction, while new connections work."""

import select
import socket
import threading


class SilencingProxy:
    def __init__(self, host):
        self.listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.target = None
        self.lock = threading.Lock()
        self.era = 0  # connections of an earlier era are silent
        self.silent = []  # keeps their sockets open
        threading.Thread(target=self.accept, daemon=True).start()

    def silence(self):
        with self.lock:
            self.era += 1

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            threading.Thread(target=self.carry, args=(near, self.era), daemon=True).start()

    def carry(self, near, era):
        host, port = self.target.split(":")
        try:
            far = socket.create_connection((host, int(port)), timeout=1)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        ends = {near: far, far: near}
        try:
            while ends:
                ready, _, _ = select.select(list(ends), [], [], 0.05)
                if era != self.era:
                    self.silent.append((near, far))
                    return
                for sock in ready:
                    data = sock.recv(65536)
                    if data:
                        ends[sock].sendall(data)
                    else:
                        ends.pop(sock).shutdown(socket.SHUT_WR)
        except OSError:
            pass
        near.close()
        far.close()

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/** A proxy between one machine and the store; open channels can go silent, new ones work. */
final class Link implements AutoCloseable {
    private final ServerSocket listener;
    private final int target;
    private final List<Channel> channels = new CopyOnWriteArrayList<>();

    Link(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    int openChannels() {
        return channels.size();
    }

    /** Silences the open channels whose last request matches; returns how many there were. */
    int silence(Predicate<String> lastRequest) {
        int count = 0;
        for (Channel channel : channels) {
            if (lastRequest.test(channel.lastRequest)) {
                channel.silent = true;
                count++;
            }
        }
        return count;
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                client.setTcpNoDelay(true);
                Socket server = new Socket("127.0.0.1", target);
                server.setTcpNoDelay(true);
                Channel channel = new Channel(client, server);
                channels.add(channel);
                thread(() -> pump(channel, client, server, true));
                thread(() -> pump(channel, server, client, false));
            }
        } catch (IOException e) {
            // Closed at the end of the script.
        }
    }

    private void pump(Channel channel, Socket from, Socket to, boolean requests) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (requests) {
                    channel.note(new String(buffer, 0, Math.min(count, 300), StandardCharsets.ISO_8859_1));
                }
                if (!channel.silent) {
                    out.write(buffer, 0, count);
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The other side has closed.
        }
        channel.close();
        channels.remove(channel);
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        channels.forEach(Channel::close);
    }

    private static final class Channel {
        private final Socket client;
        private final Socket server;
        private volatile String lastRequest = "";
        private volatile boolean silent;

        Channel(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }

        void note(String bytes) {
            int end = bytes.indexOf(" HTTP/1.1");
            if (end > 0) {
                lastRequest = bytes.substring(0, end);
            }
        }

        void close() {
            try {
                client.close();
                server.close();
            } catch (IOException e) {
                // Nothing more can be done.
            }
        }
    }
}

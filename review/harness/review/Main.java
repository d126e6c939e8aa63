package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs one case: arguments are its name and its folder. */
public final class Main {
    /** A case; returns whether the rule held. */
    interface Case {
        boolean held(Setting setting) throws Exception;
    }

    /** What a case has at hand. */
    static final class Setting {
        final Path root;
        final Path temporary;
        final RunLog record;
        final Store store;
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        private final List<AutoCloseable> mOpened = new ArrayList<>();

        Setting(Path root, Path temporary, RunLog record) throws Exception {
            this.root = root;
            this.temporary = temporary;
            this.record = record;
            store = keep(new Store(record));
        }

        <T extends AutoCloseable> T keep(T opened) {
            synchronized (mOpened) {
                mOpened.add(0, opened);
            }
            return opened;
        }

        Worker worker(String id, String service, java.util.Map<String, Long> versions,
                Worker.Work work) throws Exception {
            return keep(new Worker(store, record, id, service, versions, work));
        }

        Instance instance(String name) throws Exception {
            Instance instance = keep(new Instance(root, temporary, name, store.address()));
            instance.start();
            record.line("instance " + name + " is ready");
            return instance;
        }

        void close() {
            List<AutoCloseable> all;
            synchronized (mOpened) {
                all = List.copyOf(mOpened);
            }
            for (AutoCloseable opened : all) {
                try {
                    opened.close();
                } catch (Exception e) {
                    record.line("could not close: " + e);
                }
            }
        }
    }

    private Main() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[1]).toAbsolutePath();
        Path temporary = Files.createTempDirectory("review");
        int exit = 2;
        try (RunLog record = new RunLog(folder.resolve("record.txt"))) {
            Setting setting = null;
            try {
                setting = new Setting(Path.of("").toAbsolutePath(), temporary, record);
                Setting closing = setting;
                Runtime.getRuntime().addShutdownHook(new Thread(closing::close));
                record.line("case " + arguments[0] + (setting.trouble ? "" : ", without trouble"));
                boolean held = Cases.byName(arguments[0]).held(setting);
                record.line(held ? "the rule held" : "the rule was broken");
                exit = held ? 0 : 1;
            } catch (Exception e) {
                record.line("the case could not run: " + e);
                e.printStackTrace();
            } finally {
                if (setting != null) {
                    setting.close();
                }
            }
            if (System.getenv("KEEP_LOGS") == null) {
                try (var files = Files.walk(temporary)) {
                    files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
                }
            } else {
                System.out.println(temporary);
            }
        }
        Runtime.getRuntime().halt(exit);
    }
}

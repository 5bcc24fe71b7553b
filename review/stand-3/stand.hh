// Stand-ins for the cases of this review: the platform's store, servers and clients over plain sockets, and the
// processes of the system. Each connection has a thread; every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using steady = std::chrono::steady_clock;

inline std::int64_t now_ms() {
    static const auto start = steady::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start).count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

/** The record of what was sent, answered and run. */
inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

inline void record(const char* format, ...) {
    const std::lock_guard lock{record_mutex};
    va_list list;
    va_start(list, format);
    std::fprintf(record_file, "%8.3f  ", static_cast<double>(now_ms()) / 1000);
    std::vfprintf(record_file, format, list);
    std::fprintf(record_file, "\n");
    std::fflush(record_file);
    va_end(list);
}

[[noreturn]] void finish(int code);

/** Ends the case as one that could not run. */
[[noreturn]] inline void cannot_run(const std::string& why) {
    record("cannot run: %s", why.c_str());
    finish(2);
}

/** A socket that is closed at the end of its scope. */
struct socket_fd {
    int fd = -1;
    socket_fd() = default;
    explicit socket_fd(int it) : fd{it} {}
    socket_fd(socket_fd&& other) noexcept : fd{std::exchange(other.fd, -1)} {}
    socket_fd& operator=(socket_fd&& other) noexcept {
        std::swap(fd, other.fd);
        return *this;
    }
    ~socket_fd() { close(); }
    void close() {
        if (fd >= 0)
            ::close(std::exchange(fd, -1));
    }
    /** Closes with a reset. */
    void reset() {
        const linger at_once{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }
};

inline sockaddr_in loopback(int port, const char* ip = "127.0.0.1") {
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip, &it.sin_addr);
    return it;
}

inline int port_of(int fd) {
    sockaddr_in it{};
    socklen_t size = sizeof it;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&it), &size);
    return ntohs(it.sin_port);
}

/** @return a listening socket on a free port, or on the given one. */
inline socket_fd listen_on(int port = 0, const std::function<void(int)>& prepare = {}) {
    socket_fd it{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const int on = 1;
    ::setsockopt(it.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (prepare)
        prepare(it.fd);
    const sockaddr_in where = loopback(port);
    if (::bind(it.fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || ::listen(it.fd, 256) != 0)
        cannot_run("no port to listen on");
    return it;
}

/** @return a port that is free now. */
inline int free_port() {
    static std::set<int> given;
    for (;;) {
        const socket_fd it = listen_on();
        if (const int port = port_of(it.fd); given.insert(port).second)
            return port;
    }
}

inline socket_fd connect_to(int port) {
    socket_fd it{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const sockaddr_in where = loopback(port);
    if (::connect(it.fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0)
        it.close();
    else {
        const int on = 1;
        ::setsockopt(it.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    return it;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

/** Reads more bytes. @return what recv() returned; -2 if none came until the deadline */
inline ssize_t receive(int fd, std::string& into, std::int64_t until_ms) {
    pollfd it{fd, POLLIN, 0};
    const auto left = static_cast<int>(std::max<std::int64_t>(0, until_ms - now_ms()));
    if (::poll(&it, 1, left) <= 0)
        return -2;
    char buf[65536];
    const ssize_t n = ::recv(fd, buf, sizeof buf, 0);
    if (n > 0)
        into.append(buf, static_cast<std::size_t>(n));
    return n;
}

inline std::string lower(std::string it) {
    std::transform(it.begin(), it.end(), it.begin(), [](unsigned char c) { return std::tolower(c); });
    return it;
}

/** An HTTP message. */
struct message {
    std::string start;                         ///< start line
    std::map<std::string, std::string> fields; ///< by lower-case name
    std::string body;
    std::size_t missing = 0; ///< bytes of the body that did not come
    [[nodiscard]] std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string{} : it->second;
    }
    [[nodiscard]] std::string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] std::string target() const {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    [[nodiscard]] int status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
};

/** Parses a head from the front of @p bytes, and removes it. @return nullopt if it is not complete */
inline std::optional<message> take_head(std::string& bytes) {
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    message it;
    std::size_t at = 0;
    while (at < end + 2) {
        const auto stop = bytes.find("\r\n", at);
        const std::string line = bytes.substr(at, stop - at);
        if (at == 0) {
            it.start = line;
        } else if (const auto colon = line.find(':'); colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            it.fields[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        at = stop + 2;
    }
    bytes.erase(0, end + 4);
    return it;
}

/** Reads a message with a stated length, or none. @return nullopt at the end of the connection */
inline std::optional<message> read_message(int fd, std::string& bytes, std::int64_t until_ms, bool whole = true) {
    for (;;) {
        auto it = take_head(bytes);
        if (!it) {
            if (receive(fd, bytes, until_ms) <= 0)
                return std::nullopt;
            continue;
        }
        const std::size_t length = std::strtoull(it->field("content-length").c_str(), nullptr, 10);
        while (whole && bytes.size() < length) {
            if (receive(fd, bytes, until_ms) <= 0)
                break;
        }
        it->body = bytes.substr(0, length);
        it->missing = length - it->body.size();
        bytes.erase(0, it->body.size());
        return it;
    }
}

/** A listener with one thread a connection. */
class listener {
public:
    using handler = std::function<void(socket_fd)>;
    explicit listener(handler serve, int port = 0, const std::function<void(int)>& prepare = {})
        : socket_{listen_on(port, prepare)}, port_{port_of(socket_.fd)} {
        std::thread{[fd = socket_.fd, serve = std::move(serve)] {
            for (;;) {
                const int it = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (it < 0)
                    return;
                const int on = 1;
                ::setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread{[serve, it] { serve(socket_fd{it}); }}.detach();
            }
        }}.detach();
    }
    [[nodiscard]] int port() const { return port_; }
    /** Accepts no more connections. */
    void stop() { ::shutdown(socket_.fd, SHUT_RDWR); }

private:
    socket_fd socket_;
    int port_;
};

inline std::string reply_of(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The platform's metadata store. */
class store {
public:
    store() : listener_{[this](socket_fd it) { serve(std::move(it)); }} {}
    [[nodiscard]] int port() const { return listener_.port(); }

    std::uint64_t put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::lock_guard lock{mutex_};
        object& it = objects_[kind][name];
        it.spec = spec;
        it.revision = ++revision_;
        if (it.created == 0)
            it.created = it.revision;
        changes_.push_back({revision_, kind, text_of(name, it), false});
        changed_.notify_all();
        return revision_;
    }
    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard lock{mutex_};
        const auto it = objects_[kind].find(name);
        if (it == objects_[kind].end())
            return;
        it->second.revision = ++revision_;
        changes_.push_back({revision_, kind, text_of(name, it->second), true});
        objects_[kind].erase(it);
        changed_.notify_all();
    }
private:
    struct object {
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change {
        std::uint64_t revision;
        std::string kind;
        std::string text;
        bool deleted;
    };

    static std::string text_of(const std::string& name, const object& it) {
        return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(it.revision) +
               ",\"created\":" + std::to_string(it.created) +
               ",\"finalizers\":[],\"delete-requested\":false},\"spec\":" + it.spec + ",\"status\":null}";
    }

    void serve(socket_fd it) {
        std::string bytes;
        while (auto request = read_message(it.fd, bytes, now_ms() + 60000)) {
            const std::string body = answer(*request);
            sleep_ms(4);
            if (!send_all(it.fd, body) || lower(request->field("connection")) == "close")
                return;
        }
    }

    static std::string parameter(const std::string& query, const std::string& name) {
        const auto at = ("&" + query).find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const auto from = at + name.size() + 1;
        return query.substr(from, query.find('&', from) - from);
    }

    std::string answer(const message& request) {
        const std::string target = request.target();
        const auto mark = target.find('?');
        const std::string path = target.substr(0, mark);
        const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        const std::string prefix = "/api/objects/";
        if (request.method() != "GET" || path.rfind(prefix, 0) != 0)
            return reply_of(404, "", "{}");
        const std::string kind = path.substr(prefix.size());
        std::unique_lock lock{mutex_};
        const std::string fields =
            "Content-Type: application/json\r\nStore-Era: 1\r\n";
        if (const std::string watch = parameter(query, "watch"); !watch.empty()) {
            const std::uint64_t after = std::strtoull(watch.c_str(), nullptr, 10);
            const auto wait = std::chrono::milliseconds{std::atoi(parameter(query, "wait-ms").c_str())};
            const auto has_news = [&] {
                return std::any_of(changes_.begin(), changes_.end(), [&](const change& one) {
                    return one.revision > after && one.kind == kind;
                });
            };
            changed_.wait_for(lock, wait, has_news);
            std::string events;
            for (const change& one : changes_) {
                if (one.revision <= after || one.kind != kind)
                    continue;
                events += events.empty() ? "" : ",";
                events += "{\"object\":" + one.text + ",\"deleted\":" + (one.deleted ? "true" : "false") + "}";
            }
            return reply_of(200, fields,
                            "{\"events\":[" + events + "],\"store-revision\":" + std::to_string(revision_) + "}");
        }
        std::string items;
        for (const auto& [name, it] : objects_[kind])
            items += (items.empty() ? "" : ",") + text_of(name, it);
        return reply_of(200, fields,
                        "{\"items\":[" + items + "],\"has-more\":false,\"store-revision\":" +
                            std::to_string(revision_) + "}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::vector<change> changes_;
    std::uint64_t revision_ = 100;
    listener listener_;
};

/** @return an entry of kind "servers". */
inline std::string entry_of(const std::string& service, int port, const std::string& state = "ready",
                            const std::string& zone = "lhr", std::int64_t born = 1765000000000) {
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port) + "\",\"zone\":\"" +
           zone + "\",\"config-version\":\"v1\",\"slots\":3,\"lifecycle-state\":\"" + state +
           "\",\"warmup-remaining-ms\":0,\"sequence\":4,\"born\":" + std::to_string(born) + "}";
}

inline std::string route_text(const std::string& name, const std::string& prefix, const std::string& kind,
                              int timeout_ms, int target_ms, const std::string& destination,
                              const std::string& host = "leno12.example", int attempts = 2) {
    return "{\"name\":\"" + name + "\",\"hostname\":\"" + host + "\",\"path-prefix\":\"" + prefix +
           "\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
           ",\"target-latency-ms\":" + std::to_string(target_ms) + ",\"priority\":1," + destination +
           ",\"max-attempts\":" + std::to_string(attempts) + "}";
}

inline std::string service_text(const std::string& name, int connections) {
    return "{\"name\":\"" + name + "\",\"health-check-path\":\"/health\",\"max-connections\":" +
           std::to_string(connections) + ",\"protocol\":\"h1\",\"tls\":false}";
}

inline std::string joined(const std::vector<std::string>& list) {
    std::string text;
    for (const std::string& it : list)
        text += (text.empty() ? "" : ",") + it;
    return text;
}

/** @return the operator's configuration, with the limits of the small deployments. */
inline std::string config_text(int version, const std::vector<std::string>& routes,
                               const std::vector<std::string>& services) {
    return "{\"config-version\":" + std::to_string(version) + ",\"routes\":[" + joined(routes) +
           "],\"services\":[" + joined(services) +
           "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
}

/** A process of the system. */
class node {
public:
    node(const std::string& folder, const std::string& name, int store_port, const std::string& seeds, int peers,
         const std::string& zone = "lhr")
        : name_{name}, folder_{folder}, callers_{free_port()}, ready_{free_port()}, operators_{free_port()},
          peers_{peers} {
        const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        std::ofstream out{path()};
        out << "[node]\nname = " << name << "\ninterface = routes\ncallers = " << at(callers_)
            << "\nreadiness = " << at(ready_) << "\noperators = " << at(operators_) << "\npeers = " << at(peers_)
            << "\nfailure_domain = " << zone << "\ncpu_share = 0.25\ncpu_speed = 1\ngrace_s = 6\n[platform]\naddress = "
            << at(store_port) << "\nheartbeat_ms = 1200\n[cluster]\nseeds = " << seeds
            << "\n[retries]\nratio = 0.2\nslack = 58\nwindow_s = 10\n";
    }
    ~node() { kill(); }
    void start() {
        const char* program = "target/packages/daemon/pollengraded";
        const std::string settings = path();
        const std::string log = folder_ + "/" + name_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            ::freopen(log.c_str(), "a", stdout);
            ::freopen(log.c_str(), "a", stderr);
            ::execl(program, program, "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
        record("node %s started", name_.c_str());
    }
    [[nodiscard]] bool is_ready() const {
        socket_fd it = connect_to(ready_);
        std::string bytes;
        if (it.fd < 0 || !send_all(it.fd, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const auto reply = read_message(it.fd, bytes, now_ms() + 1000);
        return reply && reply->status() == 200;
    }
    void await_ready() const {
        for (int n = 0; n < 200; ++n) {
            if (is_ready())
                return;
            sleep_ms(50);
        }
        cannot_run("node " + name_ + " did not become ready");
    }
    /** @return whether the process has ended by itself; its wait status is kept. */
    bool has_ended() {
        if (pid_ <= 0)
            return ended_;
        if (::waitpid(pid_, &status_, WNOHANG) != pid_)
            return false;
        pid_ = 0;
        ended_ = true;
        return true;
    }
    [[nodiscard]] std::string end_text() const {
        if (WIFSIGNALED(status_))
            return std::string{"signal "} + ::strsignal(WTERMSIG(status_));
        return "exit status " + std::to_string(WEXITSTATUS(status_));
    }
    void signal(int it) const {
        if (pid_ > 0)
            ::kill(pid_, it);
    }
    void kill() {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, &status_, 0);
        pid_ = 0;
    }
    [[nodiscard]] int callers() const { return callers_; }
    [[nodiscard]] int operators() const { return operators_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] pid_t pid() const { return pid_; }

private:
    [[nodiscard]] std::string path() const { return folder_ + "/" + name_ + ".ini"; }
    std::string name_;
    std::string folder_;
    int callers_;
    int ready_;
    int operators_;
    int peers_;
    pid_t pid_ = 0;
    int status_ = 0;
    bool ended_ = false;
};

/** A client's request. */
struct request {
    std::string method = "GET";
    std::string path;
    std::string id;
    int deadline_ms = 2000;
    std::string body;
    std::string host = "leno12.example";
};

inline std::string text_of(const request& it) {
    std::string text = it.method + " " + it.path + " HTTP/1.1\r\nHost: " + it.host + "\r\nX-Request-Id: " + it.id +
                       "\r\nX-Request-Deadline: " + std::to_string(it.deadline_ms) + "\r\n";
    if (!it.body.empty() || it.method == "POST")
        text += "Content-Length: " + std::to_string(it.body.size()) + "\r\n";
    return text + "\r\n" + it.body;
}

/** @return the answer on an open connection; nullopt if there is none that is complete. */
inline std::optional<message> ask(int fd, std::string& bytes, const request& it) {
    if (!send_all(fd, text_of(it)))
        return std::nullopt;
    auto reply = read_message(fd, bytes, now_ms() + it.deadline_ms + 1000);
    if (reply && reply->missing > 0)
        reply.reset();
    return reply;
}

/** The same on a new connection. */
inline std::optional<message> ask(int port, const request& it) {
    const socket_fd fd = connect_to(port);
    std::string bytes;
    return fd.fd < 0 ? std::nullopt : ask(fd.fd, bytes, it);
}

/** What a case needs: its folder, whether there is a disruption, a temporary folder. */
struct setting {
    std::string temporary;
    bool has_trouble = true;
};

inline std::vector<node*> nodes_to_end;
inline std::string temporary_folder;

[[noreturn]] inline void finish(int code) {
    for (node* it : nodes_to_end)
        it->kill();
    record("result %d", code);
    std::error_code ec;
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(temporary_folder, ec);
    std::fflush(nullptr);
    ::_exit(code);
}

/** The processes of a small deployment: three, each in a zone of its own. */
class fleet {
public:
    fleet(const std::string& folder, const store& platform) {
        const std::vector<std::string> zones{"lhr", "khi", "fsd"};
        std::vector<int> peers;
        std::string seeds;
        for (std::size_t n = 0; n < zones.size(); ++n) {
            peers.push_back(free_port());
            seeds += (seeds.empty() ? "" : ",") + std::string{"127.0.0.1:"} + std::to_string(peers.back());
        }
        for (std::size_t n = 0; n < zones.size(); ++n) {
            nodes_.push_back(std::make_unique<node>(folder, "node-" + std::to_string(n + 1), platform.port(), seeds,
                                                    peers[n], zones[n]));
            nodes_to_end.push_back(nodes_.back().get());
            nodes_.back()->start();
        }
        for (const auto& it : nodes_)
            it->await_ready();
    }
    /** @return the node of a client. */
    node& of(int client) { return *nodes_[static_cast<std::size_t>(client) % nodes_.size()]; }
    std::vector<std::unique_ptr<node>>& nodes() { return nodes_; }

private:
    std::vector<std::unique_ptr<node>> nodes_;
};

/** Starts a case. @param argv the folder of the case. The current folder is the repository's root. */
inline setting begin(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    if (argc < 2)
        ::_exit(2);
    now_ms();
    record_file = std::fopen((std::string{argv[1]} + "/record.txt").c_str(), "w");
    std::string folder = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr)
        ::_exit(2);
    setting it;
    it.temporary = folder;
    temporary_folder = it.temporary;
    const char* trouble = std::getenv("TROUBLE");
    it.has_trouble = trouble == nullptr || std::string{trouble} != "0";
    std::thread{[] {
        sleep_ms(110000);
        cannot_run("the time is over");
    }}.detach();
    return it;
}

} // namespace stand

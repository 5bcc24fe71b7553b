/** @file stand.hh Stand-ins for the review's scripts: the platform's store, servers, clients, and the start
 * of nodes with the command and the settings template of the deploy file. Only loopback addresses are used.
 */
#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleep_ms(int ms) {
    std::this_thread::sleep_for(milliseconds{ms});
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** record.txt: one line for each thing sent, answered or run, with milliseconds since the start. */
class record {
public:
    explicit record(const std::string& path) : out_{path} {}
    /** @return milliseconds since the start. */
    std::int64_t now() const {
        return std::chrono::duration_cast<milliseconds>(clock::now() - start_).count();
    }
    void line(const std::string& text) {
        const std::lock_guard lock{mutex_};
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f s  ", static_cast<double>(now()) / 1000);
        out_ << stamp << text << '\n';
        out_.flush();
    }
    /** Writes a line here and on standard output. */
    void say(const std::string& text) {
        line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::ofstream out_;
    std::mutex mutex_;
    clock::time_point start_ = clock::now();
};

// --- Sockets and HTTP/1.1 ---

struct message {
    std::string start; ///< start line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string& name) const {
        for (const auto& [key, value] : fields)
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        return {};
    }
    bool has(const std::string& name) const {
        return std::any_of(fields.begin(), fields.end(),
                           [&](const auto& it) { return strcasecmp(it.first.c_str(), name.c_str()) == 0; });
    }
    std::string word(int n) const {
        std::istringstream in{start};
        std::string it;
        while (n-- >= 0)
            in >> it;
        return it;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

inline sockaddr_in address_of(const std::string& text) {
    const auto colon = text.find(':');
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &it.sin_addr);
    return it;
}

/** Listens; port 0 takes a free port. @return the descriptor, -1 on failure; @p address gets the port */
inline int listen_on(std::string& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in where = address_of(address);
    socklen_t size = sizeof where;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0 || ::listen(fd, 512) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size) != 0) {
        ::close(fd);
        return -1;
    }
    address = address.substr(0, address.find(':') + 1) + std::to_string(ntohs(where.sin_port));
    return fd;
}

inline int connect_to(const std::string& address, int timeout_ms) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in where = address_of(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd it{fd, POLLOUT, 0};
    int code = 0;
    socklen_t size = sizeof code;
    if (::poll(&it, 1, timeout_ms) != 1 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size) != 0 ||
        code != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool write_all(int fd, const std::string& text) {
    for (std::size_t done = 0; done < text.size();) {
        const ssize_t n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

enum class read_end { complete, closed, timed_out };

/** Reads one message with a Content-Length (or no body). @p buf keeps what follows it. */
inline read_end read_message(int fd, std::string& buf, message& out, clock::time_point until) {
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
        pollfd it{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) != 1)
            return read_end::timed_out;
        char bytes[16384];
        const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return read_end::closed;
        buf.append(bytes, static_cast<std::size_t>(n));
        return read_end::complete;
    };
    std::size_t end = 0;
    while ((end = buf.find("\r\n\r\n")) == std::string::npos)
        if (const auto it = more(); it != read_end::complete)
            return it;
    out = {};
    std::istringstream head{buf.substr(0, end)};
    std::getline(head, out.start);
    if (!out.start.empty() && out.start.back() == '\r')
        out.start.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto from = line.find_first_not_of(" \t", colon + 1);
        out.fields.emplace_back(line.substr(0, colon), from == std::string::npos ? "" : line.substr(from));
    }
    buf.erase(0, end + 4);
    const std::size_t size = static_cast<std::size_t>(std::atoll(out.field("Content-Length").c_str()));
    while (buf.size() < size)
        if (const auto it = more(); it != read_end::complete)
            return it;
    out.body = buf.substr(0, size);
    buf.erase(0, size);
    return read_end::complete;
}

inline std::string reply_text(const std::string& status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// --- The platform's store ---

/** Keeps objects by kind and name, with list, stale list and watch. It never fails by itself. */
class store {
public:
    explicit store(std::string address) : address_{std::move(address)} {
        fd_ = listen_on(address_);
        std::thread{[this] {
            for (;;) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0)
                    std::thread{[this, fd] { serve(fd); }}.detach();
            }
        }}.detach();
    }
    bool ok() const { return fd_ >= 0; }
    const std::string& address() const { return address_; }

    /** Adds an address of its own for a machine, so that the machine can be told by its calls. */
    std::string address_for(int machine) {
        std::string address = "127.0.0.1:0";
        const int fd = listen_on(address);
        std::thread{[this, fd, machine] {
            for (;;) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0)
                    std::thread{[this, accepted, machine] { serve(accepted, machine); }}.detach();
            }
        }}.detach();
        return address;
    }
    /** From now on the store is silent to a machine, or answers it again. */
    void set_silent(int machine, bool silent) {
        const std::lock_guard lock{mutex_};
        silent_[machine] = silent;
        if (silent)
            ++epoch_[machine]; // A connection on which a response is lost returns nothing further.
    }
    /** From now on answers state an era. Then the store can be away, and come back from a copy. */
    void count_eras() { era_ = 1; }
    /** Takes a copy of all objects. */
    void copy() {
        const std::lock_guard lock{mutex_};
        copy_ = objects_;
        copied_at_ = revision_;
    }
    /** The store is away: connections end without an answer. */
    void go_away() {
        const std::lock_guard lock{mutex_};
        away_ = true;
        changed_.notify_all();
    }
    /** The store comes back from the copy: what was written since is gone, and revisions go back. */
    void come_back() {
        const std::lock_guard lock{mutex_};
        objects_ = copy_;
        revision_ = copied_at_;
        history_.clear();
        oldest_watch_ = revision_;
        ++era_;
        away_ = false;
    }
    /** @return the number of objects of a kind. */
    std::size_t count(const std::string& kind) {
        const std::lock_guard lock{mutex_};
        return objects_[kind].size();
    }
    /** @return the machines that have a watch of a kind open. */
    std::vector<int> watchers(const std::string& kind) {
        const std::lock_guard lock{mutex_};
        std::vector<int> list;
        for (const auto& [key, count] : watching_)
            if (key.second == kind && count > 0)
                list.push_back(key.first);
        return list;
    }

    /** Writes an object. Its return is the acknowledgement. */
    void put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::lock_guard lock{mutex_};
        object& it = objects_[kind][name];
        it.revision = ++revision_;
        if (it.created == 0)
            it.created = revision_;
        it.spec = spec;
        history_.push_back({revision_, kind, "{\"deleted\":false,\"object\":" + text_of(name, it) + "}"});
        changed_.notify_all();
    }
    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard lock{mutex_};
        const auto node = objects_[kind].extract(name);
        if (node.empty())
            return;
        ++revision_;
        history_.push_back(
            {revision_, kind, "{\"deleted\":true,\"object\":" + text_of(name, node.mapped()) + "}"});
        changed_.notify_all();
    }

private:
    struct object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct change {
        std::uint64_t revision;
        std::string kind;
        std::string text;
    };

    static std::string text_of(const std::string& name, const object& it) {
        return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(it.revision) +
               ",\"created\":" + std::to_string(it.created) +
               ",\"finalizers\":[],\"delete-requested\":false},\"spec\":" + it.spec + ",\"status\":null}";
    }
    static std::uint64_t number(const std::string& target, const std::string& key) {
        const auto at = target.find(key + "=");
        return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + key.size() + 1, nullptr, 10);
    }
    std::string changes(const std::string& kind, std::uint64_t after, bool& any) const {
        std::string text;
        for (const change& it : history_)
            if (it.kind == kind && it.revision > after)
                text += (text.empty() ? "" : ",") + it.text;
        any = !text.empty();
        return "{\"events\":[" + text + "],\"store-revision\":" + std::to_string(revision_) + "}";
    }
    /** @return the name after the kind in a path; empty if there is none. */
    static std::string name_in(const std::string& target, const std::string& path) {
        return target.starts_with(path + "/") ? target.substr(path.size() + 1) : "";
    }
    /** Creates or replaces an object as a node asks. */
    std::string write(const std::string& kind, std::string name, const message& in, std::string& status) {
        const auto value_of = [&](const std::string& key) {
            const auto at = in.body.find("\"" + key + "\":");
            return at == std::string::npos ? std::string{} : in.body.substr(at + key.size() + 3);
        };
        const bool is_new = name.empty();
        if (is_new) {
            const std::string text = value_of("name");
            name = text.substr(1, text.find('"', 1) - 1);
        }
        const auto known = objects_[kind].find(name);
        const bool exists = known != objects_[kind].end();
        const std::string expected = value_of("revision");
        if (!is_new && !exists) {
            status = "404 Not Found";
            return "{}";
        }
        if (exists && (is_new || (!expected.empty() && std::stoull(expected) != known->second.revision))) {
            status = "409 Conflict";
            return text_of(name, known->second);
        }
        std::string spec = value_of("spec");
        spec.pop_back(); // The brace that ends the whole body.
        object& it = objects_[kind][name];
        it.revision = ++revision_;
        if (it.created == 0)
            it.created = revision_;
        it.spec = spec;
        history_.push_back({revision_, kind, "{\"deleted\":false,\"object\":" + text_of(name, it) + "}"});
        changed_.notify_all();
        status = is_new ? "201 Created" : "200 OK";
        return text_of(name, it);
    }
    void serve(int fd, int machine = -1) {
        std::string buf;
        message in;
        std::unique_lock first{mutex_};
        const int epoch = epoch_[machine];
        first.unlock();
        while (read_message(fd, buf, in, clock::now() + std::chrono::minutes{5}) == read_end::complete) {
            const std::string target = in.word(1);
            const std::string prefix = "/api/objects/";
            std::string kind = target.substr(std::min(target.size(), prefix.size()));
            kind = kind.substr(0, kind.find_first_of("?/"));
            std::string body;
            std::string status = "200 OK";
            std::unique_lock lock{mutex_};
            const std::string named = name_in(target, prefix + kind);
            if (away_) {
                break;
            } else if (in.word(0) == "POST" || in.word(0) == "PUT") {
                body = write(kind, named, in, status);
            } else if (!named.empty()) {
                const bool exists = objects_[kind].contains(named);
                status = exists ? "200 OK" : "404 Not Found";
                body = exists ? text_of(named, objects_[kind][named]) : "{}";
            } else if (target.find("watch=") != std::string::npos &&
                       (number(target, "watch") > revision_ || number(target, "watch") < oldest_watch_)) {
                status = "410 Gone";
                body = "{}";
            } else if (target.find("watch=") != std::string::npos) {
                const auto until = clock::now() + milliseconds{number(target, "wait-ms")};
                bool any = false;
                ++watching_[{machine, kind}];
                while (body = changes(kind, number(target, "watch"), any),
                       !any && !away_ && clock::now() < until)
                    changed_.wait_until(lock, until);
                --watching_[{machine, kind}];
                if (away_)
                    break;
            } else {
                std::string items;
                for (const auto& [name, it] : objects_[kind])
                    items += (items.empty() ? "" : ",") + text_of(name, it);
                body = "{\"items\":[" + items +
                       "],\"has-more\":false,\"store-revision\":" + std::to_string(revision_) + "}";
            }
            const bool is_lost = silent_[machine] || epoch_[machine] != epoch;
            lock.unlock();
            if (is_lost) {
                // Nothing more comes on this connection; the machine has to give it up.
                pollfd gone{fd, POLLRDHUP, 0};
                ::poll(&gone, 1, 60000);
                break;
            }
            const std::string era = era_ == 0 ? "" : "Store-Era: " + std::to_string(era_) + "\r\n";
            if (!write_all(fd, reply_text(status, "Content-Type: application/json\r\n" + era, body)))
                break;
            if (strcasecmp(in.field("Connection").c_str(), "close") == 0)
                break;
        }
        ::close(fd);
    }

    std::string address_;
    int fd_ = -1;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::uint64_t era_ = 0;          ///< see count_eras()
    bool away_ = false;              ///< see go_away()
    std::uint64_t copied_at_ = 0;    ///< the revision of the copy
    std::uint64_t oldest_watch_ = 0; ///< history before it is gone
    std::map<std::string, std::map<std::string, object>> copy_;
    std::map<int, bool> silent_;                          ///< machines that get no answers
    std::map<int, int> epoch_;                            ///< of each machine: how often it was cut off
    std::map<std::pair<int, std::string>, int> watching_; ///< open watches, by machine and kind
    std::map<std::string, std::map<std::string, object>> objects_;
    std::deque<change> history_;
};

// --- Servers ---

/** What a server does with a request that it has begun to run. */
struct server_answer {
    std::string status = "200 OK";
    int work_ms = 20;
};

/** A server: `slots` requests at a time, a queue, X-Target-Instance checked, one request at a time on a
 * connection. */
class server {
public:
    using handler = std::function<server_answer(const message&)>;

    server(record& log, store& platform, std::string ip, std::string service, std::string id, int slots,
           handler run, std::string zone = "zone-a")
        : log_{log}, platform_{platform}, address_{ip + ":0"}, service_{std::move(service)},
          id_{std::move(id)}, slots_{slots}, run_{std::move(run)}, zone_{std::move(zone)}, born_{unix_ms()} {
        fd_ = listen_on(address_);
        std::thread{[this] { accept_all(); }}.detach();
    }
    const std::string& id() const { return id_; }
    const std::string& address() const { return address_; }

    /** Writes its entry; the return is the store's acknowledgement. */
    void report(const std::string& state) {
        platform_.put("servers", id_,
                      "{\"service\":\"" + service_ + "\",\"address\":\"" + address_ + "\",\"zone\":\"" +
                          zone_ + "\",\"config-version\":\"v1\",\"slots\":" + std::to_string(slots_) +
                          ",\"lifecycle-state\":\"" + state + "\",\"warmup-remaining-ms\":0,\"sequence\":" +
                          std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) + "}");
        log_.line("store acknowledged: server " + id_ + " is " + state);
    }
    /** Ends the server: the listener and all connections are closed. */
    void exit() {
        const std::lock_guard lock{mutex_};
        gone_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        for (const int fd : open_)
            ::shutdown(fd, SHUT_RDWR);
        log_.line("server " + id_ + " has left");
    }

private:
    void accept_all() {
        while (!gone_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (gone_)
                    return;
                continue;
            }
            {
                const std::lock_guard lock{mutex_};
                open_.push_back(fd);
            }
            std::thread{[this, fd] { serve(fd); }}.detach();
        }
    }
    void serve(int fd) {
        std::string buf;
        message in;
        while (read_message(fd, buf, in, clock::now() + std::chrono::seconds{60}) == read_end::complete) {
            if (!write_all(fd, answer(in)))
                break;
        }
        const std::lock_guard lock{mutex_};
        std::erase(open_, fd);
        ::close(fd);
    }
    std::string answer(const message& in) {
        const std::string request = in.field("X-Request-Id");
        const std::string echo = "X-Request-Id: " + request + "\r\n";
        if (in.word(1) == "/health")
            return reply_text("200 OK", "X-Instance-Id: " + id_ + "\r\n", "");
        if (request.empty())
            return reply_text("400 Bad Request", "X-Not-Executed: 1\r\n", "");
        if (in.has("X-Target-Instance") && in.field("X-Target-Instance") != id_)
            return reply_text("421 Misdirected Request", echo + "X-Instance-Id: " + id_ + "\r\n", "");
        {
            std::unique_lock lock{slots_mutex_};
            constexpr int queue = 24;
            if (waiting_ >= queue)
                return reply_text("503 Service Unavailable", echo + "X-Not-Executed: 1\r\n", "");
            ++waiting_;
            slots_free_.wait(lock, [this] { return running_ < slots_; });
            --waiting_;
            ++running_;
        }
        log_.line("server " + id_ + " runs " + request);
        const server_answer it = run_(in);
        sleep_ms(it.work_ms);
        {
            const std::lock_guard lock{slots_mutex_};
            --running_;
        }
        slots_free_.notify_one();
        log_.line("server " + id_ + " answers " + request + " with " + it.status.substr(0, 3));
        return reply_text(it.status, echo + "X-Server-Signature: sig." + id_ + "." + request + "\r\n",
                          "done by " + id_);
    }

    record& log_;
    store& platform_;
    std::string address_;
    std::string service_;
    std::string id_;
    int slots_;
    handler run_;
    std::string zone_;
    std::int64_t born_;
    int fd_ = -1;
    std::atomic<bool> gone_ = false;
    std::atomic<int> sequence_ = 0;
    std::mutex mutex_;
    std::vector<int> open_;
    std::mutex slots_mutex_;
    std::condition_variable slots_free_;
    int waiting_ = 0;
    int running_ = 0;
};

// --- Nodes ---

/** Starts nodes with the run line of deploy/system.toml and settings made of the role's template. */
class fleet {
public:
    /**
     * @param root the repository's root
     * @param store_addresses the store's address, for each node its own if there are several
     * @param zones of the nodes in turn
     */
    fleet(std::string root, std::string work, std::vector<std::string> store_addresses, int count,
          std::vector<std::string> zones = {"zone-a"})
        : root_{std::move(root)}, work_{std::move(work)}, stores_{std::move(store_addresses)},
          zones_{std::move(zones)} {
        std::mt19937 random{std::random_device{}()};
        const std::string net =
            "127." + std::to_string(1 + random() % 250) + "." + std::to_string(random() % 250) + ".";
        for (int n = 1; n <= count; ++n)
            ips_.push_back(net + std::to_string(n));
    }
    ~fleet() { end_all(); }
    const std::string& ip(int n) const { return ips_.at(static_cast<std::size_t>(n)); }
    std::string frontend(int n) const { return ip(n) + ":8226"; }
    std::string ready(int n) const { return ip(n) + ":8227"; }
    pid_t pid(int n) const { return pids_.at(n); }
    const std::string& zone(int n) const { return zones_.at(static_cast<std::size_t>(n) % zones_.size()); }

    /** Uses settings of one's own in place of the role's template. @param text with {{ip}} and {{store}} */
    void use_settings(std::string text) { own_settings_ = std::move(text); }

    void start(int n) {
        const std::string path = work_ + "/settings-" + std::to_string(n) + ".toml";
        std::ofstream{path} << settings(n);
        const std::string log = work_ + "/node-" + std::to_string(n) + ".log";
        std::vector<std::string> words = run_line();
        for (std::string& it : words)
            if (it == "/etc/pollengrade/settings.toml")
                it = path;
        const pid_t child = ::fork();
        if (child == 0) {
            ::setenv("POLLENGRADE_SETTINGS", path.c_str(), 1);
            if (::chdir(root_.c_str()) != 0)
                ::_exit(127);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::vector<char*> argv;
            for (std::string& it : words)
                argv.push_back(it.data());
            argv.push_back(nullptr);
            ::execv(argv[0], argv.data());
            ::_exit(127);
        }
        pids_[n] = child;
    }
    /** Waits until a node reports itself ready. */
    bool await_ready(int n, int timeout_ms) const {
        const auto until = clock::now() + milliseconds{timeout_ms};
        while (clock::now() < until) {
            if (is_ready(n))
                return true;
            sleep_ms(50);
        }
        return false;
    }
    /** The platform's readiness check. */
    bool is_ready(int n) const {
        const int fd = connect_to(ready(n), 500);
        if (fd < 0)
            return false;
        std::string buf;
        message reply;
        const bool ok =
            write_all(fd,
                      "GET /api/readiness HTTP/1.1\r\nHost: " + ready(n) + "\r\nConnection: close\r\n\r\n") &&
            read_message(fd, buf, reply, clock::now() + milliseconds{1000}) == read_end::complete &&
            reply.status() == 200;
        ::close(fd);
        return ok;
    }
    /** @return whether the process has ended; then @p status is its wait status. */
    bool has_ended(int n, int& status) { return ::waitpid(pids_.at(n), &status, WNOHANG) == pids_.at(n); }
    void end_all() {
        for (const auto& [n, it] : pids_) {
            ::kill(it, SIGKILL);
            ::waitpid(it, nullptr, 0);
        }
        pids_.clear();
    }

private:
    std::vector<std::string> run_line() const {
        std::ifstream in{root_ + "/deploy/system.toml"};
        for (std::string line; std::getline(in, line);) {
            if (!line.starts_with("run = \""))
                continue;
            std::istringstream words{line.substr(7, line.rfind('"') - 7)};
            std::vector<std::string> list;
            for (std::string it; words >> it;)
                list.push_back(it);
            return list;
        }
        return {};
    }
    std::string settings(int n) const {
        std::ifstream in{root_ + "/platform/node.ini"};
        std::string text{std::istreambuf_iterator<char>{in}, {}};
        if (!own_settings_.empty())
            text = own_settings_;
        std::string seeds;
        for (std::size_t k = 0; k < std::min<std::size_t>(3, ips_.size()); ++k)
            seeds += (k == 0 ? "" : ",") + ips_[k] + ":8224";
        const std::map<std::string, std::string> values{
            {"node-name", "frontend-" + zone(n) + "-" + std::to_string(n + 1)},
            {"ip", ip(n)},
            {"zone", zone(n)},
            {"bind-addresses.frontend", frontend(n)},
            {"bind-addresses.ready", ready(n)},
            {"internal-ports.0", "7740"},
            {"limits.cpu-share", "0.25"},
            {"limits.cpu-cores", "1"},
            {"bounds.grace-s", "6"},
            {"platform.address", stores_.at(static_cast<std::size_t>(n) % stores_.size())},
            {"heartbeat-interval-ms", "1200"},
            {"seed-nodes", seeds},
            {"bounds.retry-budget-ratio", "0.2"},
            {"bounds.retry-budget-slack", "54"},
            {"bounds.budget-window-s", "10"}};
        for (const auto& [name, value] : values)
            for (std::size_t at = 0; (at = text.find("{{" + name + "}}", at)) != std::string::npos;)
                text.replace(at, name.size() + 4, value);
        return text;
    }

    std::string root_;
    std::string work_;
    std::vector<std::string> stores_;
    std::vector<std::string> zones_;
    std::string own_settings_;
    std::vector<std::string> ips_;
    std::map<int, pid_t> pids_;
};

// --- Clients ---

/** How one client attempt ended. */
struct outcome {
    enum { answered, closed, timed_out, no_connection } how = answered;
    message reply;
    std::string text() const {
        switch (how) {
        case answered:
            return std::to_string(reply.status()) + (reply.has("X-Server-Signature") ? " (signed)" : "");
        case closed:
            return "connection closed with no answer";
        case timed_out:
            return "no answer in time";
        case no_connection:
            break;
        }
        return "no connection";
    }
};

/** One client connection, kept while the node keeps it. */
class client {
public:
    explicit client(std::string address) : address_{std::move(address)} {}
    ~client() { drop(); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    /** Sends one request and waits for its answer until the deadline and a little longer. */
    outcome send(const std::string& method, const std::string& path, const std::string& host,
                 const std::string& id, int deadline_ms, const std::string& body = {}) {
        outcome out;
        if (fd_ < 0)
            fd_ = connect_to(address_, 1000);
        if (fd_ < 0) {
            out.how = outcome::no_connection;
            return out;
        }
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id +
                           "\r\nX-Request-Deadline: " + std::to_string(deadline_ms) + "\r\n";
        if (method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        const auto until = clock::now() + milliseconds{deadline_ms + 1000};
        read_end end = read_end::closed;
        if (write_all(fd_, text + "\r\n" + body))
            end = read_message(fd_, buf_, out.reply, until);
        out.how = end == read_end::complete ? outcome::answered
                  : end == read_end::closed ? outcome::closed
                                            : outcome::timed_out;
        if (out.how != outcome::answered || strcasecmp(out.reply.field("Connection").c_str(), "close") == 0)
            drop();
        return out;
    }
    void drop() {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
        buf_.clear();
    }

private:
    std::string address_;
    int fd_ = -1;
    std::string buf_;
};

inline std::string new_id() {
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock{mutex};
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

/** Exit codes of a script. */
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

/** @return whether the disruption is to happen (TROUBLE is not 0). */
inline bool trouble() {
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string{it} != "0";
}

} // namespace stand

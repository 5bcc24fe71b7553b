/** @file stand.hh Stand-ins for the cases of the second review: the store, servers, clients and a fleet of nodes. */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using clock = std::chrono::steady_clock;
inline const clock::time_point begin = clock::now();

/** @return milliseconds since the start of the case. */
inline long now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begin).count();
}
inline long wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleep_ms(long ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/** Writes one line to record.txt, with the time. */
inline void record(const char* format, ...) {
    static std::mutex lock;
    static FILE* file = std::fopen("record.txt", "w");
    const std::lock_guard hold{lock};
    std::fprintf(file, "%7ld ", now_ms());
    va_list args;
    va_start(args, format);
    std::vfprintf(file, format, args);
    va_end(args);
    std::fputc('\n', file);
    std::fflush(file);
}

/** @return whether the disruption is played. */
inline bool trouble() {
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string{it} != "0";
}

/** A request or a reply. */
struct message {
    std::string start;                         ///< first line
    std::map<std::string, std::string> fields; ///< by name in lower case
    std::string body;
    bool complete = false; ///< whether all of it arrived
    [[nodiscard]] std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
    [[nodiscard]] int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    [[nodiscard]] std::string target() const {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
    return it;
}

/** @return whether all bytes were sent. */
inline bool send_all(int fd, const std::string& text) {
    for (std::size_t done = 0; done < text.size();) {
        const ssize_t n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

/** Reads messages from a socket; keeps bytes that follow a message. */
class reader {
public:
    explicit reader(int fd) : fd_{fd} {}
    /** Reads the head. @param until now_ms() at which to give up @return false at the end or an error */
    bool head(message& it, long until = 1L << 40) {
        std::size_t end = 0;
        while ((end = buf_.find("\r\n\r\n")) == std::string::npos)
            if (!more(until))
                return false;
        std::string text = buf_.substr(0, end + 2);
        buf_.erase(0, end + 4);
        it = {};
        it.start = text.substr(0, text.find("\r\n"));
        for (std::size_t at = text.find("\r\n") + 2; at < text.size();) {
            const auto stop = text.find("\r\n", at);
            const std::string line = text.substr(at, stop - at);
            at = stop + 2;
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& c : name)
                c = static_cast<char>(std::tolower(c));
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            it.fields[name] = value;
        }
        return true;
    }
    /** Reads a body with a length. */
    bool body(message& it, long until = 1L << 40) {
        const auto size = static_cast<std::size_t>(std::atol(it.field("content-length").c_str()));
        while (buf_.size() < size)
            if (!more(until)) {
                it.body = buf_;
                return false;
            }
        it.body = buf_.substr(0, size);
        buf_.erase(0, size);
        it.complete = true;
        return true;
    }
    bool all(message& it, long until = 1L << 40) { return head(it, until) && body(it, until); }
    /** Reads and discards what comes until the end. */
    void drain() {
        while (more(1L << 40))
            buf_.clear();
    }

private:
    bool more(long until) {
        pollfd it{fd_, POLLIN, 0};
        const long left = until - now_ms();
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(std::min(left, 1000000L))) != 1)
            return false;
        char bytes[65536];
        const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        buf_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    int fd_;
    std::string buf_;
};

/** Accepts connections on a loopback address; runs a function for each in its own thread. */
class listener {
public:
    /** @param segment largest TCP segment, as on an Ethernet link; 0 for that of the loopback device
     * @param window receive buffer; 0 for the system's */
    listener(std::string ip, std::function<void(int)> run, int segment = 0, int window = 0) : ip_{std::move(ip)} {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        if (segment > 0)
            ::setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        if (window > 0)
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        sockaddr_in at = address_of(ip_, 0);
        socklen_t size = sizeof at;
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 512) != 0)
            std::exit(2);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        std::thread{[fd = fd_, run = std::move(run)] {
            for (;;) {
                const int to = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (to < 0)
                    return;
                const int one = 1;
                ::setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread{run, to}.detach();
            }
        }}.detach();
    }
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] std::string address() const { return ip_ + ":" + std::to_string(port_); }

private:
    std::string ip_;
    int fd_ = -1;
    int port_ = 0;
};

inline std::string reply_text(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The platform's store: lists, watches, entries that expire. Writers of this process write to it directly. */
class store {
public:
    /** A link from one node to the store; while it is cut, nothing passes in either direction. */
    struct link {
        std::atomic<bool> cut{false};
        std::unique_ptr<listener> at;
    };

    /** @return a link of its own for a node. */
    std::shared_ptr<link> connect(const std::string& ip) {
        auto it = std::make_shared<link>();
        it->at = std::make_unique<listener>(ip, [this, it = it.get()](int fd) { serve(*it, fd); });
        return it;
    }

    /** Writes an object. @return its revision */
    long put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::lock_guard hold{lock_};
        auto& known = objects_[kind][name];
        known.second = spec;
        known.first = ++revision_;
        history_.push_back({revision_, kind, name, spec, false});
        changed_.notify_all();
        return revision_;
    }
    long remove(const std::string& kind, const std::string& name) {
        const std::lock_guard hold{lock_};
        const auto known = objects_[kind].find(name);
        if (known == objects_[kind].end())
            return revision_;
        const std::string spec = known->second.second;
        objects_[kind].erase(known);
        history_.push_back({++revision_, kind, name, spec, true});
        changed_.notify_all();
        return revision_;
    }

private:
    struct change {
        long revision;
        std::string kind, name, spec;
        bool deleted;
    };

    static std::string object_text(const std::string& name, long revision, const std::string& spec) {
        return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision) +
               ",\"created\":1,\"finalizers\":[],\"delete-requested\":false},\"spec\":" + spec + ",\"status\":null}";
    }

    std::string list_text(const std::string& kind) {
        std::string items;
        for (const auto& [name, it] : objects_[kind])
            items += (items.empty() ? "" : ",") + object_text(name, it.first, it.second);
        return "{\"items\":[" + items + "],\"has-more\":false,\"store-revision\":" + std::to_string(revision_) + "}";
    }

    std::string changes_text(const std::string& kind, long after) {
        std::string events;
        for (const change& it : history_)
            if (it.kind == kind && it.revision > after)
                events += (events.empty() ? "" : ",") + std::string{"{\"object\":"} +
                          object_text(it.name, it.revision, it.spec) +
                          ",\"deleted\":" + (it.deleted ? "true" : "false") + "}";
        return "{\"events\":[" + events + "],\"store-revision\":" + std::to_string(revision_) + "}";
    }

    bool has_changes(const std::string& kind, long after) const {
        return std::any_of(history_.begin(), history_.end(),
                           [&](const change& it) { return it.kind == kind && it.revision > after; });
    }

    static long number(const std::string& target, const std::string& key) {
        const auto at = target.find(key + "=");
        return at == std::string::npos ? -1 : std::atol(target.c_str() + at + key.size() + 1);
    }

    static bool is_closed(int fd) {
        pollfd it{fd, POLLIN | POLLRDHUP, 0};
        return ::poll(&it, 1, 0) == 1 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    void serve(link& via, int fd) {
        reader in{fd};
        message request;
        while (in.all(request)) {
            while (via.cut)
                sleep_ms(5);
            sleep_ms(4);
            const std::string target = request.target();
            const std::string path = target.substr(0, target.find('?'));
            const std::string kind = path.substr(std::string{"/api/objects/"}.size());
            std::string body;
            const long after = number(target, "watch");
            const long until = now_ms() + std::max(0L, number(target, "wait-ms"));
            std::unique_lock hold{lock_};
            if (after >= 0) {
                while (!has_changes(kind, after) && now_ms() < until && !is_closed(fd))
                    changed_.wait_for(hold, std::chrono::milliseconds(50));
                body = changes_text(kind, after);
            } else {
                body = list_text(kind);
            }
            hold.unlock();
            while (via.cut)
                sleep_ms(5);
            if (!send_all(fd, reply_text(200, "Content-Type: application/json\r\nStore-Era: 1\r\n", body)))
                break;
        }
        ::close(fd);
    }

    std::mutex lock_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, std::pair<long, std::string>>> objects_;
    std::vector<change> history_;
    long revision_ = 10;
};

/** @return a server's entry as JSON. */
inline std::string entry_text(const std::string& service, const std::string& address, const std::string& zone,
                              int slots, const std::string& state, long born) {
    static std::atomic<long> sequence{0};
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone +
           "\",\"config-version\":\"1\",\"slots\":" + std::to_string(slots) + ",\"lifecycle-state\":\"" + state +
           "\",\"warmup-remaining-ms\":0,\"sequence\":" + std::to_string(++sequence) +
           ",\"born\":" + std::to_string(born) + "}";
}

/** A route of the configuration, as JSON. @param destination "service", "gather" and what belongs to it */
inline std::string route_text(const std::string& name, const std::string& host, const std::string& prefix,
                              const std::string& kind, int timeout_ms, int target_ms, int max_attempts,
                              const std::string& destination) {
    return "{\"name\":\"" + name + "\",\"hostname\":\"" + host + "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\"" +
           kind + "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
           ",\"target-latency-ms\":" + std::to_string(target_ms) + ",\"priority\":1,\"max-attempts\":" +
           std::to_string(max_attempts) + "," + destination + "}";
}

inline std::string config_text(int version, const std::string& routes, const std::string& services) {
    return "{\"config-version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":[" + services +
           "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":5000,"
           "\"idle-timeout-ms\":15000}}";
}

inline std::string service_text(const std::string& name, int connections) {
    return "{\"name\":\"" + name + "\",\"max-connections\":" + std::to_string(connections) +
           ",\"health-check-path\":\"/health\"}";
}

/** @return a free loopback port; each call gives another one. Its socket stays bound, so that the system gives it to no
 * other socket; a process that sets SO_REUSEADDR can listen there. */
inline int free_port(const std::string& ip) {
    static std::set<int> given;
    for (;;) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in at = address_of(ip, 0);
        socklen_t size = sizeof at;
        if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
            std::exit(2);
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        if (given.insert(ntohs(at.sin_port)).second)
            return ntohs(at.sin_port);
        ::close(fd);
    }
}

/** One node: the daemon of the deploy file with settings like those of platform/node.ini. */
struct node {
    std::string name, ip, zone;
    int callers = 0, readiness = 0, operators = 0;
    pid_t pid = -1;
};

/** Nodes of a case, each at a loopback address of its own. Ends them all at its end. */
class fleet {
public:
    /** @param root the repository @param work a temporary folder */
    fleet(store& platform, std::string root, std::string work)
        : platform_{platform}, root_{std::move(root)}, work_{std::move(work)} {
        peers_ = free_port("127.0.0.1");
    }
    ~fleet() { end(); }

    void add(const std::string& zone) {
        auto it = std::make_unique<node>();
        const int number = static_cast<int>(nodes.size()) + 1;
        it->name = "frontend-" + std::to_string(number);
        it->ip = "127.77.0." + std::to_string(number);
        it->zone = zone;
        it->callers = free_port(it->ip);
        it->readiness = free_port(it->ip);
        it->operators = free_port(it->ip);
        links.push_back(platform_.connect("127.0.0.1"));
        nodes.push_back(std::move(it));
    }

    /** Starts one node. @param slack see retry-budget-slack */
    void start(std::size_t n, int slack = 54, int grace_s = 6) {
        node& it = *nodes.at(n);
        std::string seeds;
        for (std::size_t k = 0; k < nodes.size() && k < 3; ++k)
            seeds += (k ? "," : "") + nodes[k]->ip + ":1";
        const std::string path = work_ + "/" + it.name + ".ini";
        FILE* file = std::fopen(path.c_str(), "w");
        std::fprintf(file,
                     "[node]\nname = %s\ninterface = routes\ncallers = %s:%d\nreadiness = %s:%d\noperators = %s:%d\n"
                     "peers = %s:%d\nfailure_domain = %s\ncpu_share = 0.25\ncpu_speed = 1\ngrace_s = %d\n"
                     "[platform]\naddress = %s\nheartbeat_ms = 1200\n[cluster]\nseeds = %s\npeer_port = %d\n"
                     "[retries]\nratio = 0.2\nslack = %d\nwindow_s = 10\n",
                     it.name.c_str(), it.ip.c_str(), it.callers, it.ip.c_str(), it.readiness, it.ip.c_str(),
                     it.operators, it.ip.c_str(), peers_, it.zone.c_str(), grace_s,
                     links.at(n)->at->address().c_str(), seeds.c_str(), peers_, slack);
        std::fclose(file);
        const std::string log = work_ + "/" + it.name + ".log";
        it.pid = ::fork();
        if (it.pid == 0) {
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(root_.c_str()) != 0)
                ::_exit(127);
            ::execl("target/packages/daemon/pollengraded", "target/packages/daemon/pollengraded", "--settings",
                    path.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        record("node %s started", it.name.c_str());
    }

    void signal(std::size_t n, int number) {
        record("node %s gets signal %d", nodes.at(n)->name.c_str(), number);
        ::kill(nodes.at(n)->pid, number);
    }

    /** Kills a node and waits for its end. */
    void kill(std::size_t n) {
        node& it = *nodes.at(n);
        if (it.pid <= 0)
            return;
        ::kill(it.pid, SIGCONT);
        ::kill(it.pid, SIGKILL);
        ::waitpid(it.pid, nullptr, 0);
        it.pid = -1;
    }

    void end() {
        for (std::size_t n = 0; n < nodes.size(); ++n)
            kill(n);
    }

    /** @return whether the node reports itself ready. */
    [[nodiscard]] bool is_ready(std::size_t n) const;
    /** Waits until all nodes are ready; exits with 2 if that takes too long. */
    void wait_ready() {
        for (std::size_t n = 0; n < nodes.size(); ++n)
            for (long until = now_ms() + 15000; !is_ready(n); sleep_ms(50))
                if (now_ms() > until) {
                    record("node %s did not become ready", nodes[n]->name.c_str());
                    end();
                    std::exit(2);
                }
    }

    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::shared_ptr<store::link>> links;

private:
    store& platform_;
    std::string root_, work_;
    int peers_ = 0;
};

/** A client's connection, kept for many requests. */
class client {
public:
    client(std::string ip, int port) : ip_{std::move(ip)}, port_{port} {}
    ~client() { close(); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /** How a request ended for the client. */
    struct result {
        message reply;
        bool complete = false; ///< whether a whole reply arrived
        bool timed_out = false;
        bool connected = false;
    };

    /** Sends a request and reads its reply. @param limit_ms how long the client waits */
    result ask(const std::string& method, const std::string& target, const std::string& host, const std::string& id,
               long limit_ms, const std::string& body = {}) {
        result it;
        const long until = now_ms() + limit_ms;
        if (fd_ < 0 && !open())
            return it;
        it.connected = true;
        std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id +
                           "\r\nX-Request-Deadline: " + std::to_string(limit_ms) + "\r\n";
        if (!body.empty() || method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        text += "\r\n" + body;
        if (!send_all(fd_, text) || !in_->head(it.reply, until)) {
            it.timed_out = now_ms() >= until;
            close();
            return it;
        }
        it.complete = in_->body(it.reply, until);
        it.timed_out = !it.complete && now_ms() >= until;
        if (!it.complete || it.reply.field("connection") == "close")
            close();
        return it;
    }
    void close() {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
        in_.reset();
    }

private:
    bool open() {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = address_of(ip_, port_);
        if (::connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
            close();
            return false;
        }
        const int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        in_ = std::make_unique<reader>(fd_);
        return true;
    }
    std::string ip_;
    int port_;
    int fd_ = -1;
    std::unique_ptr<reader> in_;
};

inline bool fleet::is_ready(std::size_t n) const {
    client it{nodes.at(n)->ip, nodes.at(n)->readiness};
    const auto got = it.ask("GET", "/api/readiness", "platform", "r", 500);
    return got.complete && got.reply.status() == 200;
}

} // namespace stand

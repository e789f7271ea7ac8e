// Command rig2 plays the cases of the second review. Each case starts the program of the deploy file as separate
// processes on loopback addresses, beside stand-ins of interpreter, index, directory and routers that follow the users'
// protocol page, and judges what routers, the index and the interpreter saw.
//
// Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
)

// object is a JSON object.
type object = map[string]any

// record writes what was sent, answered and run, with the time since the start in seconds.
type record struct {
	mutex sync.Mutex
	start time.Time
	out   io.Writer
}

// newRecord creates the file record.txt in a case's folder.
func newRecord(folder string) *record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	return &record{start: time.Now(), out: file}
}

func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, err := fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	check(err)
}

// cannotRun is the panic of a case that could not run.
type cannotRun struct{ err error }

// check ends the case with status 2 on an error of the rig itself.
func check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// closeQuietly closes what may be closed already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// rig holds the processes of a case.
type rig struct {
	folder  string
	temp    string
	log     *record
	trouble bool

	mutex     sync.Mutex
	processes []*server
}

// server is one app server process, with its interpreter.
type server struct {
	rig         *rig
	name        string
	listen      string
	platform    object
	service     string // YAML; empty for none
	isCold      bool
	descriptors int // limit that the platform sets; 0 for none
	interpreter *interpreter
	index       *index
	directory   *door
	process     *exec.Cmd
	exited      chan struct{}
}

// freeAddress returns a loopback address that nobody else uses.
func freeAddress() string {
	address, err := emulator.FreeAddress()
	check(err)
	return address
}

// write writes a file of the temporary folder and returns its path.
func (r *rig) write(name, text string) string {
	path := filepath.Join(r.temp, name)
	check(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// newServer prepares an app server; start starts its process.
func (r *rig) newServer(name string, settings object, x *index, directory *door) *server {
	s := &server{rig: r, name: name, listen: freeAddress(), index: x, directory: directory}
	s.interpreter = newInterpreter(name, settings["FamilyInfo"].(object)["Cores"].(int), r.log)
	s.platform = object{
		"name": name, "listen": s.listen, "seed": "8c1f30d27a5be964", "stop_ms": 3200,
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings,
	}
	return s
}

// start starts the process with the command of the deploy file and waits until it takes requests.
func (s *server) start() {
	config := s.writeConfig()
	s.process = exec.Command("/bin/sh", "-c", s.runCommand())
	s.process.Env = append(os.Environ(), "PROXY_NAME="+s.name, "PROXY_LISTEN="+s.listen, "PROXY_CONFIG="+config)
	if s.service != "" {
		s.process.Env = append(s.process.Env, "THISTLEQUAY_SERVICE="+s.rig.write(s.name+".yaml", s.service))
	}
	output, err := os.OpenFile(filepath.Join(s.rig.temp, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	s.process.Stdout = output
	s.process.Stderr = output
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives the rig
	check(s.process.Start())
	process, exited := s.process, make(chan struct{})
	s.exited = exited
	go func() {
		_ = process.Wait() // the status of a killed process is of no interest
		closeQuietly(output)
		close(exited)
	}()
	s.rig.mutex.Lock()
	s.rig.processes = append(s.rig.processes, s)
	s.rig.mutex.Unlock()
	check(emulator.WaitUntilServing(s.listen))
	s.rig.log.add("%s serves, process %d", s.name, process.Process.Pid)
}

// signal sends a signal to the process.
func (s *server) signal(sent syscall.Signal) {
	s.rig.log.add("%s gets %v", s.name, sent)
	_ = s.process.Process.Signal(sent) // it may have ended
}

// kill kills the process and its interpreter, and waits for the end.
func (s *server) kill() {
	s.signal(syscall.SIGKILL)
	<-s.exited
	s.interpreter.kill()
}

// replaceInterpreter gives the next process of the server an interpreter of its own, which is cold.
func (s *server) replaceInterpreter() {
	s.interpreter = newColdInterpreter(s.name, s.interpreter.cores, s.rig.log)
	s.isCold = true
}

// writeConfig writes the platform's file, with the present addresses, and returns its path.
func (s *server) writeConfig() string {
	s.platform["vm"] = s.interpreter.address()
	s.platform["index"] = s.index.address()
	s.platform["lookup"] = s.directory.address()
	text, err := json.Marshal(s.platform)
	check(err)
	if s.isCold {
		text = bytes.Replace(text, []byte(`"Cold":false`), []byte(`"Cold":true`), 1)
	}
	return s.rig.write(s.name+".json", string(text))
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, s := range r.processes {
		_ = s.process.Process.Kill() // it may have ended
		<-s.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.temp)
	}
}

// newID returns random hex digits.
func newID(digits int) string {
	text := make([]byte, digits/2)
	_, err := rand.Read(text)
	check(err)
	return hex.EncodeToString(text)
}

// try is one try of a request, as its router sends it.
type try struct {
	class, id, key, body, tenant string
	budget                       time.Duration
}

// parameters returns the FastCGI parameters of the try, received now.
func (t *try) parameters() map[string]string {
	p := emulator.RequestParameters(t.id, t.tenant, t.budget)
	if t.key != "" {
		p["HTTP_ONCE_KEY"] = t.key
	}
	return p
}

// send sends the try on a connection of its own and returns the answer. Status 0 means that none came within its time.
func (s *server) send(t *try) (status int, body string) {
	status, body = s.exchange(t)
	s.interpreter.requestOver(t.id)
	s.rig.log.add("%s answers %s status=%d %q", s.name, t.id, status, body)
	return status, body
}

func (s *server) exchange(t *try) (status int, body string) {
	link, err := emulator.Dial(s.listen)
	if err != nil {
		return -1, "connection refused"
	}
	defer closeQuietly(link)
	s.rig.log.add("%s gets %s class=%s key=%s body=%q", s.name, t.id, t.class, t.key, t.body)
	_, err = link.Write(emulator.FastCGIRequest(1, "/rpc/"+t.class, t.body, t.parameters()))
	if err != nil {
		return 0, err.Error()
	}
	check(link.SetReadDeadline(time.Now().Add(t.budget + 110*time.Millisecond)))
	return readAnswer(link)
}

// overloaded is the status that readAnswer returns for the protocol status OVERLOADED, which is a refusal.
const overloaded = 2

// readAnswer reads the answer to the only request of a connection. Status 0 means that there was no whole answer.
func readAnswer(link *emulator.Link) (status int, body string) {
	var output []byte
	for {
		var header [8]byte
		if _, err := io.ReadFull(link.Reader, header[:]); err != nil {
			return 0, err.Error()
		}
		content := make([]byte, int(header[4])<<8+int(header[5])+int(header[6]))
		if _, err := io.ReadFull(link.Reader, content); err != nil {
			return 0, err.Error()
		}
		if header[1] != 3 {
			output = append(output, content...)
			continue
		}
		if content[4] == overloaded {
			return overloaded, "protocol status OVERLOADED"
		}
		head, body, _ := strings.Cut(string(output), "\r\n\r\n")
		_, _ = fmt.Sscanf(head, "Status: %d", &status) // an answer that cannot be read keeps status 0
		return status, body
	}
}

// isRefusal reports whether an answer promises that the try never ran.
func isRefusal(status int) bool { return status == 429 || status == 503 || status == overloaded }

// play runs a case and returns its exit status.
func play(folder string, scenario func(*rig) bool) (status int) {
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	r := &rig{folder: folder, temp: temp, trouble: os.Getenv("TROUBLE") != "0"}
	giveUp := func(reason string) {
		fmt.Println("could not run:", reason)
		r.close()
		os.Exit(2)
	}
	time.AfterFunc(longestRun, func() { giveUp("it takes too long") })
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { giveUp((<-ended).String()) }()
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Println("could not run:", failure)
			status = 2
		}
		r.close()
	}()
	r.log = newRecord(folder)
	if scenario(r) {
		return 0
	}
	return 1
}

// verdict records whether the rule held.
func (r *rig) verdict(holds bool, format string, args ...any) bool {
	text := fmt.Sprintf(format, args...)
	r.log.add("rule held=%v: %s", holds, text)
	fmt.Printf("rule held=%v: %s\n", holds, text)
	return holds
}

// longestRun is the time after which a case ends with status 2.
const longestRun = 110 * time.Second

// scenarios are the cases by the names that their scripts give.
var scenarios = map[string]func(*rig) bool{}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	scenario, found := scenarios[os.Args[1]]
	if !found {
		fmt.Println("no case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(play(os.Args[2], scenario))
}

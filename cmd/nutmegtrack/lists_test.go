package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

func TestLists(t *testing.T) { spec.Run(t, "cmd/nutmegtrack") }

// invoke runs one subcommand of a list in this process and returns its status and output.
func invoke(list string, newCommand func(*listCommand) command, args ...string) (status int, out string) {
	GinkgoHelper()
	var buffer bytes.Buffer
	c := newCommand(&listCommand{list: list, out: &buffer, err: &buffer, author: "amy"})
	parser := flaggy.NewParser("nutmegtrack")
	parser.AttachSubcommand(c.sub, 1)
	Expect(parser.ParseArgs(append([]string{c.sub.Name}, args...))).To(Succeed())
	status = c.run()
	return status, buffer.String()
}

func expectStatus(want int, list string, newCommand func(*listCommand) command, args ...string) {
	GinkgoHelper()
	status, out := invoke(list, newCommand, args...)
	Expect(status).To(Equal(want), out)
}

var _ = Describe("customers and plans", func() {
	var s *standin.StoreServer
	var url, dir string
	BeforeEach(func() {
		s = standin.NewStoreServer(standin.StoreConfig{})
		server := httptest.NewServer(s)
		url, dir = "--store="+server.URL, GinkgoT().TempDir()
		DeferCleanup(func() { s.Close(); server.Close() })
		expectStatus(exitOK, plan.PlansList, newPlansSet, "gold", url, "--service=portal", "--connections=10", "--new-connections-per-second=5", "--requests=2")
		expectStatus(exitOK, plan.CustomersList, newCustomersSet, "north", url, "--plan=gold", "--source=10.0.0.0/16,2001:db8::/32")
	})
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	// Guards against applying an outdated file, which silently undoes another operator's edit.
	It("refuse a file that is based on an earlier revision, and show the changes since", func() {
		_, text := invoke(plan.CustomersList, newGet, url)
		mine := file("mine.json", strings.Replace(text, "10.0.0.0/16", "10.9.0.0/16", 1))
		status, _ := invoke(plan.PlansList, newPlansSet, "gold", url, "--weight=3")
		Expect(status).To(Equal(exitOK))
		status, out := invoke(plan.CustomersList, newApply, mine, url)
		Expect(status).To(Equal(exitFailure))
		Expect(out).To(ContainSubstring("refused: made from revision 2, but the current one is 3"))
		Expect(out).To(ContainSubstring(`~ plans "gold": weight 1 -> 3`))
		status, out = invoke(plan.CustomersList, newApply, mine, url, "--base=latest")
		Expect(status).To(Equal(exitOK), out)
		status, out = invoke(plan.CustomersList, newDiff, url, "--from=3")
		Expect(status).To(Equal(exitOK))
		Expect(out).To(Equal("~ customers \"north\": sources 10.0.0.0/16 2001:db8::/32 -> 10.9.0.0/16 2001:db8::/32\n"))
		_, out = invoke(plan.CustomersList, newGet, url)
		Expect(strings.Count(out, "revision")).To(Equal(1), "the marker was stored")
		expectStatus(exitUsage, plan.CustomersList, newApply, file("bare.json", `{"customers": []}`), url)
	})

	// Guards against applying a file that was made from an edit which the store has lost, onto
	// another edit that it has accepted under the same revision after its return.
	It("refuse a file that is based on another edit of the current revision", func() {
		_, text := invoke(plan.CustomersList, newGet, url)
		lost := regexp.MustCompile(`edit \S+`).ReplaceAllString(text, "edit 1-lost")
		status, out := invoke(plan.CustomersList, newApply, file("lost.json", strings.Replace(lost, "10.0.0.0/16", "10.9.0.0/16", 1)), url)
		Expect(status).To(Equal(exitFailure))
		Expect(out).To(ContainSubstring("refused: made from revision 2, but the current one is 2; nothing was changed\nthe store has returned from an older copy"))
		expectStatus(exitOK, plan.CustomersList, newApply, file("old.json", regexp.MustCompile(`, edit \S+`).ReplaceAllString(text, "")), url)
	})

	// Guards against wrong exit statuses, on which scripts rely.
	It("report findings with the operator's file and line, and change nothing", func() {
		bad := file("bad.json", "// nutmegtrack customers, revision 2\n{\"customers\": [\n{\"name\": \"a\", \"plan\": \"x\", \"sources\": [\"10.0.0.1/8\"]}]}")
		for _, newCommand := range []func(*listCommand) command{newApply, newValidate} {
			status, out := invoke(plan.CustomersList, newCommand, bad, url)
			Expect(status).To(Equal(exitUsage))
			Expect(out).To(ContainSubstring("bad.json:3:23: customers[0].plan: there is no plan \"x\"\n" + bad + ":3:40:"))
		}
		expectStatus(exitUsage, plan.CustomersList, newRemove, "south", url)
		expectStatus(exitUsage, plan.PlansList, newPlansRemove, "gold", url) // a customer uses it
		_, out := invoke(plan.CustomersList, newHistory, url)
		Expect(strings.Count(out, "\n")).To(Equal(2))
	})

	// Guards against a lost response that leaves the operator without the outcome of an edit.
	It("accept an edit whose response is lost, and report it later by its ID", func() {
		s.SetFaults(standin.StoreFaults{LoseResponses: 2})
		status, out := invoke(plan.PlansList, newPlansSet, "gold", url, "--weight=4")
		Expect(status).To(Equal(exitOK), out)
		id := strings.Fields(out)[4]
		status, again := invoke("", editStatus, strings.TrimSpace(id), url)
		Expect(status).To(Equal(exitOK))
		Expect(again).To(Equal("accepted: revision 3, edit " + id + "\n"))
		status, _ = invoke("", editStatus, "3-unused", url)
		Expect(status).To(Equal(exitUnknown))
		status, _ = invoke("", editStatus, "2-other", url)
		Expect(status).To(Equal(exitFailure))
		s.SetFaults(standin.StoreFaults{Outage: standin.OutageRefuse})
		expectStatus(exitFailure, plan.PlansList, newPlansSet, "gold", url, "--weight=5")
	})

	// Guards against losing the operator's text when the edit is refused.
	It("keep the edited file unless the edit is accepted", func() {
		GinkgoT().Setenv("TMPDIR", dir)
		GinkgoT().Setenv("EDITOR", `sed -i s/gold/silver/`)
		status, out := invoke(plan.CustomersList, newEdit, url)
		Expect(status).To(Equal(exitUsage))
		kept := strings.TrimSpace(out[strings.Index(out, "kept in ")+len("kept in "):])
		Expect(os.ReadFile(kept)).To(ContainSubstring("silver"))
		GinkgoT().Setenv("EDITOR", `sed -i s/10.0.0.0/10.7.0.0/`)
		status, out = invoke(plan.CustomersList, newEdit, url)
		Expect(status).To(Equal(exitOK), out)
		Expect(out).To(ContainSubstring("10.7.0.0/16"))
		Expect(filepath.Glob(filepath.Join(dir, "nutmegtrack-*"))).To(HaveLen(1))
	})
})
